package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/settings"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key, and
// returns their settings and a pool that trusts the certificate.
func (c *cluster) writeCertificate() (*settings.TLS, *x509.CertPool) {
	c.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		c.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		c.t.Fatal(err)
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certificate)
	return &settings.TLS{
		CertFile: c.writeFile("cert.pem", string(certificate)),
		KeyFile:  c.writeFile("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))),
	}, pool
}

// An entry whose settings name a certificate serves callers over TLS and not over
// plain HTTP.
func TestCallersOverTLS(t *testing.T) {
	c := newCluster(t, 1, 1)
	if err := c.stop("e1", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	certificate, pool := c.writeCertificate()
	path := filepath.Join(c.dir, "e1.json")
	process, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	process.TLS = certificate
	data, err := json.Marshal(process)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	c.start("e1")
	c.waitReady("e1")
	req, err := http.NewRequest(http.MethodGet, "https://"+c.vms["e1"].callerAddress+"/services/desk/records/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	response, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want 200", response.StatusCode)
	}
	plain, err := c.call("e1", http.MethodGet, "/services/desk/records/7", "", "")
	if err == nil && plain.status == http.StatusOK {
		t.Fatal("served over plain HTTP as well")
	}
}
