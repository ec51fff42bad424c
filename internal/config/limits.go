package config

// File descriptors that are set aside for fixed uses, each for the most that it can need.
const (
	// 3 standard files; 6 for an epoll and an eventfd each of the Go runtime, of netpoll's own poller and of the event
	// loop; 2 for the loop's other eventfd and its timerfd.
	runtimeDescriptors = 11
	// The listener for clients and the one for gossip.
	listenerDescriptors = 2
	// Hot restart: the socket for successors; three successors, each with its connection and a copy of the clients'
	// listener; the connection of one that is rejected; the connection to the predecessor.
	hotRestartDescriptors = 9
	// DescriptorsPerWatch is the number for the watch of a list service: six requests and one that is being cancelled, and
	// the same again while the watch moves to another list service.
	DescriptorsPerWatch = 14
	// 4 each for the files of disabled servers and of evacuated zones; the rest for the snapshot and a configuration file.
	fileDescriptors = 12

	fixedDescriptors = runtimeDescriptors + listenerDescriptors + hotRestartDescriptors + DescriptorsPerWatch +
		fileDescriptors

	// DescriptorsPerListener is the number for a team's listener: one for itself, and one for a copy for each of three
	// successors.
	DescriptorsPerListener = 4
)

const (
	// maxAdminConnections is several times the number of dashboards and people that use one router's admin server.
	maxAdminConnections = 24
	// adminExtraDescriptors is for the admin server's listener and a connection that is rejected.
	adminExtraDescriptors = 2
	// unsplitDescriptors are not split, nor are those that the admin server needs with maxAdminConnections.
	unsplitDescriptors = 32
	// minSplitDescriptors are split even if fewer are free.
	minSplitDescriptors = 4

	// openRequestBytes is the memory of an open request without its value, in bytes.
	openRequestBytes = 4 << 10
)

// deriveLimits splits memory and descriptors.
//
// Descriptors: the fixed uses, the admin server (its listener, its connections, as many more that are being answered,
// one that is rejected) and the listeners and pools of the operators' file have descriptors of their own. The split is
// of the smaller of two numbers: 32/29 of the descriptors that remain, and all descriptors without unsplitDescriptors
// and the admin server's. Clients get half of it, rejected clients a sixteenth of the clients' number, and cache
// servers three eighths, together 29/32. The remaining descriptors are for connections that are closed and not released
// yet.
//
// Memory: open requests, without their values, may use a sixteenth of it, and values held for clients an eighth. The
// number of connections to cache servers bounds the memory for values from them.
func (c *Config) deriveLimits() {
	split := c.Descriptors - unsplitDescriptors
	free := c.Descriptors - fixedDescriptors - c.reservedDescriptors
	c.AdminConnections = 0
	if c.AdminListen != "" {
		// Independent of reservedDescriptors: a later change of the operators' file doesn't change the admin server.
		c.AdminConnections = min(maxAdminConnections, max(1, (c.Descriptors-fixedDescriptors)/8))
		split -= maxAdminConnections + adminExtraDescriptors
		free -= 2*c.AdminConnections + adminExtraDescriptors
	}
	split = max(min(split, free*32/29), minSplitDescriptors)
	c.ClientConnections = split / 2
	c.RejectConnections = max(1, c.ClientConnections/16)
	c.UpstreamConnections = split * 3 / 8
	c.MaxConnections = max(free, c.ClientConnections+c.RejectConnections+c.UpstreamConnections)

	c.OpenRequests = c.MemoryBytes / 16 / openRequestBytes
	if c.OpenRequestsCap > 0 {
		c.OpenRequests = min(c.OpenRequests, c.OpenRequestsCap)
	}
	c.BufferedBytes = c.MemoryBytes / 8
}

// WithReserved returns the configuration with a number of descriptors reserved for the listeners and pools in the
// operators' file, but with at most half of all descriptors. It reports whether all of them are reserved.
func (c Config) WithReserved(descriptors int) (Config, bool) {
	c.reservedDescriptors = min(descriptors, c.Descriptors/2)
	c.deriveLimits()
	return c, c.reservedDescriptors == descriptors
}

// WithHalfLimits returns the configuration of one of two processes of a router that run at the same time: they share
// the limits equally.
func (c Config) WithHalfLimits() Config {
	c.Descriptors /= 2
	c.MemoryBytes /= 2
	c.deriveLimits()
	return c
}
