package cmd

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// The validity periods of generated certificates.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
)

// The files of the certificate authority.
const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority-key.pem"
)

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// keyCommand hashes API keys and generates the files for mutual TLS.
func (r *root) keyCommand() *ff.Command {
	flags := ff.NewFlagSet("key").SetParent(r.flags)
	return &ff.Command{
		Name:      "key",
		Usage:     "spoolbank key hash|authority|certificate ...",
		ShortHelp: "hash an API key, or make the files of mutual TLS",
		Flags:     flags,
		Subcommands: []*ff.Command{
			{Name: "hash", Usage: "spoolbank key hash KEY", ShortHelp: "print the hash that an organisation is declared with", Flags: ff.NewFlagSet("hash").SetParent(flags), Exec: r.keyHash},
			{Name: "authority", Usage: "spoolbank key authority FOLDER", ShortHelp: "make an authority", Flags: ff.NewFlagSet("authority").SetParent(flags), Exec: r.keyAuthority},
			{Name: "certificate", Usage: "spoolbank key certificate FOLDER NAME [IP ...]", ShortHelp: "make the certificate of a VM or operator", Flags: ff.NewFlagSet("certificate").SetParent(flags), Exec: r.keyCertificate},
		},
		Exec: func(context.Context, []string) error {
			return &exitError{exitUsage, errors.New("say hash, authority or certificate")}
		},
	}
}

func (r *root) keyHash(_ context.Context, args []string) error {
	if len(args) != 1 {
		return &exitError{exitUsage, errors.New("give one key")}
	}
	fmt.Fprintln(r.stdout, config.HashKey(args[0]))
	return nil
}

func (r *root) keyAuthority(_ context.Context, args []string) error {
	if len(args) != 1 {
		return &exitError{exitUsage, errors.New("give one folder")}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := newTemplate("spoolbank authority", authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return writePair(args[0], authorityCertificate, authorityKey, template, template, key, key)
}

func (r *root) keyCertificate(_ context.Context, args []string) error {
	if len(args) < 2 {
		return &exitError{exitUsage, errors.New("give the authority's folder, a name, and the IP numbers of a VM")}
	}
	folder, name := args[0], args[1]
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return &exitError{exitFailed, err}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := newTemplate(name, certificateValidity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, text := range args[2:] {
		ip := net.ParseIP(text)
		if ip == nil {
			return &exitError{exitUsage, fmt.Errorf("%q is no IP number", text)}
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	return writePair(folder, name+".pem", name+"-key.pem", template, authority, key, signer)
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

func loadAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readPEM(filepath.Join(folder, authorityCertificate))
	if err != nil {
		return nil, nil, err
	}
	authority, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, err
	}
	raw, err := readPEM(filepath.Join(folder, authorityKey))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(raw)
	return authority, key, err
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w; `spoolbank key authority FOLDER` makes it", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s holds no PEM; make it anew with `spoolbank key`", path)
	}
	return block.Bytes, nil
}

// writePair signs a certificate and writes it and its key. It does not overwrite existing
// files.
func writePair(folder, certificateFile, keyFile string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(folder, certificateFile), "CERTIFICATE", certificate, 0o644); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, keyFile), "EC PRIVATE KEY", raw, 0o600)
}

func writePEM(path, kind string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return &exitError{exitFailed, fmt.Errorf("%w; move the old file away first", err)}
	}
	defer f.Close()
	return pem.Encode(f, &pem.Block{Type: kind, Bytes: data})
}
