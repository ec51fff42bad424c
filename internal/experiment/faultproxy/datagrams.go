package faultproxy

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// datagramRelay receives the datagrams that one router sends to another and forwards them to the receiver. It sends
// them from the socket of the reverse relay, whose address is the one that the receiver has for the sender.
type datagramRelay struct {
	network  *Network
	to, from int // numbers of the receiving and the sending router
	conn     *net.UDPConn
	reverse  *datagramRelay // relays the datagrams of the opposite direction
	real     netip.AddrPort
}

// RelayDatagrams starts relays between all pairs of routers. address returns the address at which router from reaches
// router to; real returns the address on which a router listens.
func (network *Network) RelayDatagrams(routers int, address func(to, from int) string, real func(router int) string) error {
	all := map[[2]int]*datagramRelay{}
	for to := range routers {
		target, err := netip.ParseAddrPort(real(to))
		if err != nil {
			return err
		}
		for from := range routers {
			if to == from {
				continue
			}
			listenAddr, err := netip.ParseAddrPort(address(to, from))
			if err != nil {
				return err
			}
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddr))
			if err != nil {
				return err
			}
			r := &datagramRelay{network: network, to: to, from: from, conn: conn, real: target}
			all[[2]int{to, from}] = r
			network.datagrams = append(network.datagrams, r)
		}
	}
	for _, r := range network.datagrams {
		r.reverse = all[[2]int{r.from, r.to}]
		network.wg.Add(1)
		go r.forward()
	}
	return nil
}

func (r *datagramRelay) close() { r.conn.Close() }

// forward forwards the datagrams, with the faults in force, until the socket is closed.
func (r *datagramRelay) forward() {
	defer r.network.wg.Done()
	buf := make([]byte, 2048)
	for {
		size, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		fault := r.network.effect(End{Kind: Router, Number: r.from}, End{Kind: Router, Number: r.to})
		lost := fault.Cut || fault.LossFraction > 0 && r.network.randomFloat() < fault.LossFraction
		r.network.recordDatagram(DatagramRecord{At: r.network.now(), From: r.from, To: r.to, Bytes: size, Lost: lost})
		if lost {
			continue
		}
		data := slices.Clone(buf[:size])
		r.send(data, fault.Delay+fault.Spread*r.network.randomFloat())
		if fault.DuplicateFraction > 0 && r.network.randomFloat() < fault.DuplicateFraction {
			r.send(data, fault.Delay+fault.Spread+0.5*r.network.randomFloat())
		}
	}
}

func (r *datagramRelay) send(data []byte, after float64) {
	// A datagram that cannot be sent is lost, as it may be on any network.
	send := func() { r.reverse.conn.WriteToUDPAddrPort(data, r.real) }
	if after <= 0 {
		send()
		return
	}
	time.AfterFunc(seconds(after), send)
}
