package standin

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// Live drives the stand-ins by the real clock and real sockets of the
// loopback, for controllers that are real processes. One goroutine owns all
// state; the others translate between sockets and its queue.
type Live struct {
	Log     io.Writer // the trace, if set
	net     *Net
	start   time.Time
	queue   chan func()
	done    chan struct{}
	client  *fasthttp.Client
	mu      sync.Mutex
	servers map[string]*fasthttp.Server
}

// NewLive starts the clock of an empty network; Run plays it.
func NewLive(seed uint64) (*Net, *Live) {
	n := newNet(seed)
	l := &Live{net: n, start: time.Now(), queue: make(chan func(), 4096), done: make(chan struct{}), servers: map[string]*fasthttp.Server{},
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1 << 14, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, time.Second) }}}
	n.live = l
	return n, l
}

// Run plays until ctx ends, then closes all sockets.
func (l *Live) Run(ctx context.Context) {
	n := l.net
	timer := time.NewTimer(0)
	for {
		n.now = time.Since(l.start)
		for len(n.queue) > 0 && n.queue[0].at <= n.now {
			heap.Pop(&n.queue).(event).f()
		}
		wait := time.Second
		if len(n.queue) > 0 {
			wait = max(0, n.queue[0].at-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case f := <-l.queue:
			n.now = time.Since(l.start)
			f()
		case <-timer.C:
		case <-ctx.Done():
			close(l.done)
			l.mu.Lock()
			for _, s := range l.servers {
				go func() { _ = s.Shutdown() }()
			}
			l.servers = map[string]*fasthttp.Server{}
			l.mu.Unlock()
			return
		}
	}
}

// Do runs f on the owner's goroutine and waits for it; false when Run has
// ended.
func (l *Live) Do(f func()) bool {
	ch := make(chan struct{})
	if !l.post(func() { f(); close(ch) }) {
		return false
	}
	select {
	case <-ch:
		return true
	case <-l.done:
		return false
	}
}

func (l *Live) post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// slowest is how long an answer may take: a watch is held for up to a minute.
const slowest = 70 * time.Second

type reply struct {
	status int
	body   []byte
}

// listen serves at a free port of the loopback and gives its address; without
// one the stand-in could not exist, so it panics.
func (l *Live) listen(srv server) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("no free port on the loopback: %v", err))
	}
	return l.serve(ln, func(method, path string, body []byte, answer func(reply)) {
		l.post(func() {
			srv(method, path, body, func(status int, b any) {
				r := reply{status: status}
				if b != nil {
					r.body = wire.Encode(b)
				}
				answer(r)
			})
		})
	})
}

func (l *Live) serve(ln net.Listener, handle func(method, path string, body []byte, answer func(reply))) string {
	s := &fasthttp.Server{NoDefaultServerHeader: true, IdleTimeout: 2 * slowest, Handler: func(c *fasthttp.RequestCtx) {
		ch := make(chan reply, 1)
		handle(string(c.Method()), string(c.Request.RequestURI()), append([]byte(nil), c.PostBody()...), func(r reply) {
			select {
			case ch <- r:
			default:
			}
		})
		t := time.NewTimer(slowest)
		defer t.Stop()
		select {
		case r := <-ch:
			c.Response.Header.SetContentType("application/cbor")
			c.SetStatusCode(r.status)
			c.SetBody(r.body)
		case <-l.done:
			c.SetStatusCode(503)
		case <-t.C:
			c.SetStatusCode(504)
		}
	}}
	addr := ln.Addr().String()
	l.mu.Lock()
	l.servers[addr] = s
	l.mu.Unlock()
	go func() { _ = s.Serve(ln) }()
	return addr
}

func (l *Live) unlisten(addr string) {
	l.mu.Lock()
	s := l.servers[addr]
	delete(l.servers, addr)
	l.mu.Unlock()
	if s != nil {
		go func() { _ = s.Shutdown() }()
	}
}

// call makes one request; done runs on the owner's goroutine, with status 0
// when there was no answer.
func (l *Live) call(addr, method, path string, body []byte, timeout time.Duration, done func(status int, b []byte)) {
	go func() {
		status, b := l.exchange(addr, method, path, body, timeout)
		l.post(func() { done(status, b) })
	}()
}

func (l *Live) exchange(addr, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(body)
	}
	if err := l.client.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// Cluster puts the surroundings of a cluster there: platform settings of each
// controller, with real addresses, and machines that are up. The controllers
// themselves are processes of their own.
func (l *Live) Cluster(name string, p []settings.Platform, machines int, left int) *Sim {
	n := l.net
	var s *Sim
	l.Do(func() {
		s = n.sim(name)
		for i := range p {
			s.all = append(s.all, p[i].Name)
			s.Nodes[p[i].Name] = &Host{s: s, name: p[i].Name, set: &settings.Settings{Platform: p[i], Operators: settings.Defaults()}}
		}
		s.S = s.Nodes[s.all[0]].set
		s.State, s.Cloud = newState(s), newCloud(s)
		zones := s.S.Deployment.Zones
		for i := range s.Cloud.Types {
			s.Cloud.Types[i].Zones = zones
		}
		for i := 0; i < machines; i++ {
			typ := "small"
			if i%4 == 3 {
				typ = "big"
			}
			s.AddWorker(typ, zones[i%len(zones)], false)
		}
		for _, t := range s.Cloud.Types {
			for _, z := range zones {
				s.Cloud.Left[fmt.Sprintf("%s/%s/false", t.Name, z)] = left
				s.Cloud.Left[fmt.Sprintf("%s/%s/true", t.Name, z)] = left
			}
		}
	})
	return s
}

// Front is what users of a cluster speak to: it gives each request to a
// healthy controller, and keeps the descriptions of submitted jobs, which
// workers fetch by themselves (users upload them).
type Front struct {
	l    *Live
	s    *Sim
	apis []string
	mu   sync.Mutex
	bad  map[string]int
	next int
	Addr string
}

// Front starts it.
func (l *Live) Front(s *Sim) (*Front, error) {
	f := &Front{l: l, s: s, bad: map[string]int{}}
	for _, n := range s.all {
		f.apis = append(f.apis, s.api(n))
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Addr = l.serve(ln, func(method, path string, body []byte, answer func(reply)) { answer(f.pass(method, path, body)) })
	go f.probe()
	return f, nil
}

// probe asks each controller every second whether it can take requests.
func (f *Front) probe() {
	for {
		for _, a := range f.apis {
			status, _ := f.l.exchange(a, "GET", "/up", nil, time.Second)
			f.mu.Lock()
			if status == 200 {
				f.bad[a] = 0
			} else {
				f.bad[a]++
			}
			f.mu.Unlock()
		}
		select {
		case <-f.l.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// Healthy counts the controllers that can take requests.
func (f *Front) Healthy() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.apis {
		if b, probed := f.bad[a]; probed && b == 0 {
			n++
		}
	}
	return n
}

func (f *Front) pass(method, path string, body []byte) reply {
	if method == "POST" && path == "/v2/runs" {
		var sub wire.Submission
		if wire.IsMap(body) && wire.Decode(body, &sub) == nil {
			if job, bad := sub.Check(); bad == "" {
				f.l.Do(func() {
					if f.s.jobs[job.ID] == nil {
						f.s.jobs[job.ID] = job
					}
				})
			}
		}
	}
	for try := 0; try < 3; try++ {
		f.mu.Lock()
		f.next++
		api := f.apis[f.next%len(f.apis)]
		for k := 0; k < len(f.apis) && f.bad[api] > 1; k++ {
			f.next++
			api = f.apis[f.next%len(f.apis)]
		}
		f.mu.Unlock()
		if status, b := f.l.exchange(api, method, path, body, 5*time.Second); status != 0 {
			return reply{status, b}
		}
		f.mu.Lock()
		f.bad[api]++
		f.mu.Unlock()
	}
	return reply{503, wire.Encode(&wire.Problem{Error: "no controller answers"})}
}

// Ended lists the rules that were seen broken; to be called after Run's end.
func (l *Live) Ended() []string { return l.net.Broken }
