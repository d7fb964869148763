package simulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// maxResponseTime is the time after which a request is answered with 504. It exceeds one minute
// because a watch may be held for that long.
const maxResponseTime = 70 * time.Second

// Limits and constants of the live network's connections.
const (
	liveQueueSize         = 4096
	maxConnectionsPerHost = 1 << 14
	dialTimeout           = time.Second
	loopbackAnyPort       = "127.0.0.1:0"
	contentTypeCBOR       = "application/cbor"
)

// LiveNetwork runs the simulated environment in real time, on sockets of the loopback
// interface, for controllers that are real processes. Run is its event loop, which alone uses the
// state of the environment. Other goroutines read requests from the sockets, queue them for the
// event loop and write the answers.
type LiveNetwork struct {
	Log io.Writer // receives the trace; if nil, the trace is kept in memory

	network *Network
	start   time.Time
	queue   chan func()   // functions that the event loop runs
	done    chan struct{} // closed when Run ends
	client  *fasthttp.Client
	mu      sync.Mutex
	servers map[string]*fasthttp.Server // by address
}

// response is an answer that is sent over a real socket.
type response struct {
	status int
	body   []byte
}

// NewLiveNetwork returns an empty network that runs in real time, and starts its clock. Run
// processes its events.
func NewLiveNetwork(seed uint64) (*Network, *LiveNetwork) {
	network := newNetwork(seed)
	live := &LiveNetwork{
		network: network,
		start:   time.Now(),
		queue:   make(chan func(), liveQueueSize),
		done:    make(chan struct{}),
		servers: map[string]*fasthttp.Server{},
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           maxConnectionsPerHost,
			NoDefaultUserAgentHeader:  true,
			DisablePathNormalizing:    true,
			Dial:                      func(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, dialTimeout) },
		},
	}
	network.live = live
	return network, live
}

// Run is the event loop. It processes events and requests until ctx ends, then closes all servers.
func (l *LiveNetwork) Run(ctx context.Context) {
	n := l.network
	timer := time.NewTimer(0)
	for {
		n.now = time.Since(l.start)
		for len(n.queue) > 0 && n.queue[0].at <= n.now {
			n.popEvent().run() // all due events run at the same n.now
		}
		timer.Reset(l.timeToNextEvent())
		select {
		case f := <-l.queue:
			n.now = time.Since(l.start)
			f()
		case <-timer.C:
		case <-ctx.Done():
			l.close()
			return
		}
	}
}

// timeToNextEvent returns the time until the earliest event, or one second if there is none.
func (l *LiveNetwork) timeToNextEvent() time.Duration {
	if len(l.network.queue) == 0 {
		return time.Second
	}
	return max(0, l.network.queue[0].at-time.Since(l.start))
}

// close unblocks the goroutines that wait for the event loop and shuts down all servers.
func (l *LiveNetwork) close() {
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range l.servers {
		shutDown(server)
	}
	l.servers = map[string]*fasthttp.Server{}
}

// shutDown closes a server without waiting for its open requests.
func shutDown(server *fasthttp.Server) {
	go func() { _ = server.Shutdown() }() // fails only if the server has stopped already
}

// Do runs f on the event loop and waits until f has returned. It returns false if the event loop
// has ended.
func (l *LiveNetwork) Do(f func()) bool {
	finished := make(chan struct{})
	if !l.post(func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

// post queues f for the event loop. It returns false if the event loop has ended.
func (l *LiveNetwork) post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// listen starts a server on a free loopback port and returns its address. It panics if there is
// no free port, because the simulation can't run without the server.
func (l *LiveNetwork) listen(handler requestHandler) string {
	listener, err := net.Listen("tcp4", loopbackAnyPort)
	if err != nil {
		panic(fmt.Sprintf("no free port on the loopback: %v", err))
	}
	return l.serve(listener, func(method, path string, body []byte, answer func(response)) {
		l.post(func() {
			handler(method, path, body, func(status int, answerBody any) {
				encoded := response{status: status}
				if answerBody != nil {
					encoded.body = protocol.Encode(answerBody)
				}
				answer(encoded)
			})
		})
	})
}

// liveHandler answers a request that came over a real socket, now or later.
type liveHandler func(method, path string, body []byte, answer func(response))

// serve starts a server on a listener and returns the address.
func (l *LiveNetwork) serve(listener net.Listener, handle liveHandler) string {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		IdleTimeout:           2 * maxResponseTime,
		Handler:               func(request *fasthttp.RequestCtx) { l.handle(request, handle) },
	}
	address := listener.Addr().String()
	l.mu.Lock()
	l.servers[address] = server
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is shut down
	return address
}

// handle answers one request. It answers 503 if the event loop ends first, and 504 if the answer
// takes longer than maxResponseTime.
func (l *LiveNetwork) handle(request *fasthttp.RequestCtx, handle liveHandler) {
	answers := make(chan response, 1)
	method, path := string(request.Method()), string(request.Request.RequestURI())
	body := append([]byte(nil), request.PostBody()...)
	handle(method, path, body, func(answer response) {
		select {
		case answers <- answer:
		default: // an answer was passed on already; later ones are dropped
		}
	})
	timer := time.NewTimer(maxResponseTime)
	defer timer.Stop()
	select {
	case answer := <-answers:
		request.Response.Header.SetContentType(contentTypeCBOR)
		request.SetStatusCode(answer.status)
		request.SetBody(answer.body)
	case <-l.done:
		request.SetStatusCode(http.StatusServiceUnavailable)
	case <-timer.C:
		request.SetStatusCode(http.StatusGatewayTimeout)
	}
}

// closeListener shuts down the server at an address.
func (l *LiveNetwork) closeListener(address string) {
	l.mu.Lock()
	server := l.servers[address]
	delete(l.servers, address)
	l.mu.Unlock()
	if server != nil {
		shutDown(server)
	}
}

// request makes one request. It calls done on the event loop, with status noAnswer if there was no
// answer.
func (l *LiveNetwork) request(address, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	go func() {
		answer := l.exchange(address, method, path, body, timeout)
		l.post(func() { done(answer.status, answer.body) })
	}()
}

// exchange makes one request and waits for its answer. The status is noAnswer if there is none.
func (l *LiveNetwork) exchange(address, method, path string, body []byte, timeout time.Duration) response {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.Header.SetContentType(contentTypeCBOR)
		request.SetBodyRaw(body)
	}
	if err := l.client.DoTimeout(request, answer, timeout); err != nil {
		return response{status: noAnswer}
	}
	return response{status: answer.StatusCode(), body: append([]byte(nil), answer.Body()...)}
}

// AddCluster adds the environment of a cluster whose controllers run as separate processes.
// platforms are the platform settings of the controllers, with real addresses. machines is
// the number of machines that run from the start, and capacity is the number of machines that can
// be rented of each offering.
func (l *LiveNetwork) AddCluster(name string, platforms []settings.Platform, machines, capacity int) (cluster *Cluster) {
	l.Do(func() {
		cluster = l.network.addEmptyCluster(name)
		for i := range platforms {
			cluster.addExternalController(&platforms[i])
		}
		cluster.Settings = cluster.Controllers[cluster.controllerNames[0]].settings
		cluster.State = newStore(cluster)
		cluster.Cloud = newCloud(cluster)
		zones := cluster.Settings.Deployment.Zones
		for i := range cluster.Cloud.Types {
			cluster.Cloud.Types[i].Zones = zones
		}
		for i := range machines {
			typeName := "small"
			if i%4 == 3 {
				typeName = "big"
			}
			cluster.AddMachine(typeName, zones[i%len(zones)], false)
		}
		cluster.Cloud.setCapacity(zones, capacity)
	})
	return cluster
}

// addExternalController adds the settings of a controller that runs in a process of its own.
func (c *Cluster) addExternalController(platform *settings.Platform) {
	c.controllerNames = append(c.controllerNames, platform.Name)
	c.Controllers[platform.Name] = &ControllerProcess{
		cluster:  c,
		name:     platform.Name,
		settings: &settings.Settings{Platform: *platform, Operators: settings.Defaults()},
	}
}

// setCapacity sets the number of machines that can be rented of each type in each zone, both
// spot and on demand.
func (c *Cloud) setCapacity(zones []string, capacity int) {
	for i := range c.Types {
		for _, zone := range zones {
			c.Capacity[Offering{Type: c.Types[i].Name, Zone: zone, Spot: false}] = capacity
			c.Capacity[Offering{Type: c.Types[i].Name, Zone: zone, Spot: true}] = capacity
		}
	}
}

// Violations returns the violations of invariants. It may be called only after Run has ended.
func (l *LiveNetwork) Violations() []string { return l.network.Violations }
