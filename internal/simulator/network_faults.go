package simulator

import (
	"strings"
)

// CutLink stops traffic between two addresses; what is sent meanwhile is held
// back, and delivered by Heal.
func (n *Network) CutLink(a, b string) {
	n.Trace("cut %s - %s", a, b)
	n.cutLink(a, b)
}

func (n *Network) cutLink(a, b string) { n.cuts[a+"|"+b], n.cuts[b+"|"+a] = true, true }

// HealLink ends a cut.
func (n *Network) HealLink(a, b string) {
	n.Trace("heal %s - %s", a, b)
	n.healLink(a, b)
}

func (n *Network) healLink(a, b string) {
	for _, key := range []string{a + "|" + b, b + "|" + a} {
		delete(n.cuts, key)
		for _, f := range n.heldMessages[key] {
			n.after(n.latency(), f)
		}
		delete(n.heldMessages, key)
	}
}

// SetInboundPartition lets nothing reach a host while what it sends arrives, or ends that.
func (n *Network) SetInboundPartition(addr string, on bool) {
	n.Trace("%s hears: %v", addr, !on)
	n.inboundPartitioned[addr] = on
}

// SetRefusal lets a service answer one host 503, or ends that.
func (n *Network) SetRefusal(from, to string, on bool) {
	n.Trace("%s refuses %s: %v", to, from, on)
	n.refusals[from+"|"+to] = on
}

// IsolateController cuts a controller off from the state service and the other
// controllers, not from its workers and users; the function it gives ends that.
func (c *Cluster) IsolateController(name string) (heal func()) {
	each := func(f func(a, b string)) {
		f(c.address(name), c.address("state"))
		for _, o := range c.controllerNames {
			if o != name {
				f(c.address(name), c.address(o))
			}
		}
	}
	c.Trace("%s is isolated", name)
	each(c.cutLink)
	return func() {
		c.Trace("%s is isolated no more", name)
		each(c.healLink)
	}
}

// PartitionZone cuts everything in a zone off from everything outside; the function
// it gives heals the cut.
func (c *Cluster) PartitionZone(zone string) (heal func()) {
	inside, outside := []string{}, []string{c.address("state"), c.address("cloud"), c.address("user")}
	place := func(z string, hosts ...string) {
		if z == zone {
			inside = append(inside, hosts...)
		} else {
			outside = append(outside, hosts...)
		}
	}
	for _, name := range c.controllerNames {
		place(c.Controllers[name].settings.Zone, c.address(name), c.address("api-"+name))
	}
	for _, id := range c.machineIDs() {
		place(c.Machines[id].zone, c.Machines[id].address)
	}
	each := func(f func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				f(a, b)
			}
		}
	}
	c.Trace("zone %s is cut off", zone)
	each(c.cutLink)
	return func() {
		c.Trace("zone %s is back", zone)
		each(c.healLink)
	}
}

// linksBetween lists the ways between two clusters' controllers.
func linksBetween(a, b *Cluster) (pairs [][2]string) {
	for _, x := range a.controllerNames {
		for _, y := range b.controllerNames {
			pairs = append(pairs, [2]string{a.address(x), b.address("fed-" + y)}, [2]string{b.address(y), a.address("fed-" + x)})
		}
	}
	return pairs
}

// PartitionClusters cuts two clusters off from each other, both ways or only the messages
// from a to b; what is sent is held back, and delivered by the function it
// gives.
func (n *Network) PartitionClusters(a, b *Cluster, oneWay bool) (heal func()) {
	word := "-"
	if oneWay {
		word = ">"
	}
	n.Trace("cut %s %s %s", a.Name, word, b.Name)
	ways := linksBetween(a, b)
	for _, pair := range ways {
		for _, k := range [][2]string{pair, {pair[1], pair[0]}} {
			if !oneWay || strings.HasPrefix(k[0], a.Name+".") {
				n.cuts[k[0]+"|"+k[1]] = true
			}
		}
	}
	return func() {
		n.Trace("heal %s %s %s", a.Name, word, b.Name)
		for _, pair := range ways {
			n.healLink(pair[0], pair[1])
		}
	}
}

// partitionClustersFor cuts two clusters off from one time to another, in seconds.
func (n *Network) partitionClustersFor(a, b *Cluster, oneWay bool, from, to float64) {
	n.At(from, func() {
		heal := n.PartitionClusters(a, b, oneWay)
		n.At(to, heal)
	})
}
