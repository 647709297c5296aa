package cmd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// retryPause is the wait between two attempts.
const retryPause = 200 * time.Millisecond

// attemptTimeout bounds one attempt at one address, in addition to the wait that the request
// asks for.
const attemptTimeout = 3 * time.Second

// operate sends the request to the leader. It follows redirects from other VMs
// and repeats the request if an answer is lost. A command carries a number, so
// that it takes effect once.
func (r *root) operate(ctx context.Context, request wire.OperateRequest) (core.Result, error) {
	credentials, err := r.loadCredentials()
	if err != nil {
		return core.Result{}, err
	}
	if len(r.peers) == 0 {
		return core.Result{}, &exitError{exitUsage, errors.New("no address; give --peers IP:PORT, or set SPOOLBANK_PEERS")}
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	addresses := slices.Clone(r.peers)
	var lastErr error
	for attempt := 0; ; attempt++ {
		address := addresses[attempt%len(addresses)]
		reply, err := r.send(ctx, credentials, address, request)
		switch {
		case err != nil:
			lastErr = err
		case reply.Result.Kind == core.ResultNotLeader:
			lastErr = fmt.Errorf("%s: %s", address, reply.Result.Message)
			addresses = leaderFirst(r.peers, reply.Leader)
			if reply.Leader != "" && reply.Leader != address {
				attempt = len(addresses) - 1
				continue
			}
		case reply.Result.Kind == core.ResultInterrupted:
			lastErr = errors.New(reply.Result.Message)
		default:
			return reply.Result, nil
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return core.Result{}, &exitError{exitUnknown, fmt.Errorf("no answer in %s, the last try: %w; a command sent again under the same number takes effect once", r.timeout, lastErr)}
		}
	}
}

// leaderFirst returns the addresses with that of the leader first.
func leaderFirst(addresses []string, leader string) []string {
	if leader == "" {
		return slices.Clone(addresses)
	}
	hinted := []string{leader}
	for _, a := range addresses {
		if a != leader {
			hinted = append(hinted, a)
		}
	}
	return hinted
}

func (r *root) send(ctx context.Context, credentials wire.Credentials, address string, request wire.OperateRequest) (wire.OperateReply, error) {
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	conn, err := credentials.Dial(ctx, address)
	if err != nil {
		return wire.OperateReply{}, err
	}
	defer conn.Close()
	return wire.Operate(ctx, conn, request)
}
