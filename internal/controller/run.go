package controller

import (
	"log/slog"
	"net"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"
)

// Run starts a controller and its listeners. It returns only when a listener cannot be opened or the
// HTTP server fails.
func Run(cfg *settings.Settings) error {
	listener, err := net.Listen("tcp4", cfg.API)
	if err != nil {
		return err
	}
	maxSockets := cfg.Deployment.Limits.Sockets
	loop := newEventLoop()
	environment := newProcessEnvironment(loop, maxSockets)
	controller := New(environment, cfg)
	controller.onActivity = loop.monitor.setActivity
	server := &httpServer{loop: loop, controller: controller}
	if cfg.Federation != nil {
		partners, err := openPartnerTransport(server, environment, cfg)
		if err != nil {
			return err
		}
		controller.EnableFederation(partners)
	}
	environment.transport, err = listenToPeers(loop, controller, cfg)
	if err != nil {
		return err
	}
	slog.Info("controller: started", "host", cfg.Name, "api", cfg.API, "mesh", cfg.Mesh)
	go func() {
		controller.Start()
		loop.run()
	}()
	go loop.watch()
	return server.serve(listener, maxSockets)
}

// listenToPeers opens the transport between controllers.
func listenToPeers(loop *eventLoop, controller *Controller, cfg *settings.Settings) (*peermsg.Transport, error) {
	addresses := map[string]string{}
	for _, member := range cfg.Members {
		addresses[member.Name] = member.Address
	}
	receive := func(envelope *peermsg.Envelope) {
		loop.submit(peerMessageCommand, func() { controller.HandlePeerMessage(envelope) })
	}
	return peermsg.Listen(cfg.Mesh, cfg.Name, addresses, env.Seconds(cfg.Deployment.Workers.Lease/20), receive)
}
