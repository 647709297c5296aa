package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// This file has the service, the configuration and the clients that the scenarios share.

// smallConfig is a configuration with an unsafe and a safe route to one plain service.
func smallConfig() map[string]any {
	return map[string]any{
		"Routes": []map[string]any{
			{"Name": "r-status", "Host": "sign.example", "PathPrefix": "/status/", "RouteType": "unsafe", "TimeoutMs": 2500, "TargetLatencyMs": 150, "Priority": 2, "Service": "portal", "MaxAttempts": 1},
			{"Name": "r-cert", "Host": "sign.example", "PathPrefix": "/cert/", "RouteType": "safe", "TimeoutMs": 2500, "TargetLatencyMs": 150, "Priority": 2, "Service": "portal", "MaxAttempts": 2},
		},
		"Services": []map[string]any{{"Name": "portal", "HealthPath": "/healthz", "MaxConnections": 54, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "t1", "ApiKeys": []string{"k-one"}, "Priority": 1}},
	}
}

// smallDeployment brings a deployment with three runners of one plain service into service.
func smallDeployment(d *deployment) ([]*runner, error) {
	if err := d.startAll(); err != nil {
		return nil, err
	}
	if err := d.put(smallConfig(), 20*time.Second); err != nil {
		return nil, err
	}
	var runners []*runner
	for n := range zones {
		x, err := d.startRunner(n, "portal", nil)
		if err != nil {
			return nil, err
		}
		runners = append(runners, x)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeat)
	return runners, nil
}

// startClients starts clients, and returns what they see and a function that waits for their end.
func startClients(d *deployment, clients int, until time.Time, pause time.Duration) (*outcomes, func()) {
	seen := &outcomes{}
	var wg sync.WaitGroup
	for n := range clients {
		c := &client{
			d: d, n: n, host: "sign.example", key: "k-one", deadline: 2500 * time.Millisecond, failed: make(map[string]time.Time), outcomes: seen,
			paths: map[string]string{http.MethodPost: "/status/q", http.MethodGet: "/cert/q"},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(until, pause)
		}()
	}
	return seen, wg.Wait
}
