package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// object is a CBOR map as the protocol has it.
type object map[string]any

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{IntDec: cbor.IntDecConvertNone, DefaultMapType: nil, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(value any) []byte {
	body, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

func decode(body []byte, value any) error { return decoding.Unmarshal(body, value) }

func answer(w http.ResponseWriter, status int, value any) {
	body := encode(value)
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func readBody(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return err
	}
	return decode(body, value)
}

// listen opens a free port of an address of the loopback.
func listen(host string) net.Listener {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return listener
}

// freePorts returns different addresses that were free a moment ago.
func freePorts(host string, count int) []string {
	var addresses []string
	for range count {
		listener := listen(host)
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, IdleTimeout: 5 * time.Minute}
	go func() { _ = server.Serve(listener) }()
}

var errStatus = errors.New("no answer")

// call sends a request and decodes the answer; status 0 means that there was none in time.
func call(client *http.Client, method, url string, in, out any, timeout time.Duration) (int, error) {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(encode(in))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/cbor")
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errStatus, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, 1<<22))
	if err != nil {
		return 0, err
	}
	if out != nil && len(content) > 0 {
		if err := decode(content, out); err != nil {
			return response.StatusCode, err
		}
	}
	return response.StatusCode, nil
}
