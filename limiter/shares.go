package limiter

// Class is the kind of a listener; each class has a share of the budget of its own.
type Class int

// The classes of listeners.
const (
	Clients Class = iota
	Peers
	Probes
	Metrics
	classes
)

// String returns the name of the class in metrics and log lines.
func (c Class) String() string {
	return [classes]string{"clients", "peers", "probes", "metrics"}[c]
}

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes is the memory of the VM or of the process.
	MemoryBytes int64
	// OpenFiles is the limit on open file descriptors.
	OpenFiles int
}

const (
	mebibyte = 1 << 20
	// reservedFiles is the number of file descriptors that the platform counts for files.
	reservedFiles = 200
	// acceptedShare is the share of the other descriptors for accepted connections in percent: with 4,100 descriptors it is 2,730, which leaves an owner one connection to each of 1,100 workers.
	acceptedShare = 70
	// outsideShare is the memory outside the Go heap in percent, such as the pages of the program; it is at least minOutside and at most maxOutside.
	outsideShare = 8
	minOutside   = 20 * mebibyte
	maxOutside   = 64 * mebibyte
	// ownShare is the memory for the process's own work in percent, at least minOwn and at most maxOwn; an owner with 1,100 workers uses 110 MB.
	ownShare = 30
	minOwn   = 24 * mebibyte
	maxOwn   = 160 * mebibyte
	// ownerLive is the live heap of an owner with 1,100 workers. Where the own share is less, the rest is taken first from large requests, which keep ownerRequests, and
	// then from connections, which keep ownerConnections: with a memory limit of 124 MB the collector used 18% of a core with 100 MB live, and 63% with 108 MB.
	ownerLive        = 58 * mebibyte
	ownerRequests    = 12 * mebibyte
	ownerConnections = 1100
	// garbageFactor is the heap size before a garbage collection relative to the live heap, in percent; the memory limit of the Go runtime lowers it further when the budget is in full use.
	garbageFactor = 130
	// connectionShare is the part of the clients' memory for connections in percent; the rest is for requests that are larger than requestAllowance.
	connectionShare = 56
	// connectionCost is the memory of one connection with a request of at most requestAllowance: two buffers of 4 KB, stacks, the connection and request state.
	connectionCost = 28 << 10
	// minConnections is the number of connections that are accepted however small the memory is.
	minConnections = 128
	// minRequestBytes is the memory for large requests however small the memory of the process is: one body of 256 KB and one header with 4,000 lines.
	minRequestBytes = 3 * mebibyte
	// headerShare is the part of the memory for large requests that headers may use while they are read, in percent.
	headerShare = 50
	// smallBody is the announced size in bytes up to which a body may use all of the memory for large requests; other bodies and headers use at most largeShare of it in percent.
	smallBody  = 64 << 10
	largeShare = 80
	// smallReserve is the number of connections reserved for each of probes and metrics, peerReserve that for peers; each is at most 1/reserveDivisor of the connections.
	smallReserve   = 16
	peerReserve    = 64
	reserveDivisor = 8
	// peerByteShare is the part of the memory for large requests that is reserved for peers in percent, smallByteShare that for each of probes and metrics.
	peerByteShare  = 15
	smallByteShare = 1
	// maxPeerShare is the part of the memory that peers may use in percent, maxPeerConnections that of the connections, and maxSmallShare the part of both for each of probes and metrics.
	maxPeerShare       = 50
	maxPeerConnections = 25
	maxSmallShare      = 10
)

// outsideBytes returns the memory that the process uses outside the Go runtime.
func (l Limits) outsideBytes() int64 {
	return min(max(l.MemoryBytes*outsideShare/100, minOutside), maxOutside, l.MemoryBytes/2)
}

// GoMemoryBytes returns the memory limit for the Go runtime (debug.SetMemoryLimit); below minOwn the process would do little but collect garbage.
func (l Limits) GoMemoryBytes() int64 { return max(l.MemoryBytes-l.outsideBytes(), minOwn) }

// shares are the parts of connections and of memory for large requests by class.
type shares struct {
	connections, bytes ledger
	// maxHeaderBytes bounds, for each class, the memory of headers that are being read.
	maxHeaderBytes int64
}

// divide derives the shares from the limits. It answers the load of thousands of clients with legal requests, which on a VM of 284 MB took 950 MB.
func (l Limits) divide() shares {
	own := min(max(l.MemoryBytes*ownShare/100, minOwn), maxOwn)
	live := max(l.GoMemoryBytes()-own, 0) * 100 / garbageFactor
	bytes := max(live*(100-connectionShare)/100, minRequestBytes)
	missing := max(ownerLive-own*100/garbageFactor, 0)
	taken := min(missing, max(bytes-ownerRequests, 0))
	bytes -= taken
	connections := live * connectionShare / 100 / connectionCost
	connections = max(connections-(missing-taken)/connectionCost, min(connections, ownerConnections), minConnections)
	if l.OpenFiles > 0 {
		connections = min(connections, max(int64(l.OpenFiles-min(reservedFiles, l.OpenFiles/2))*acceptedShare/100, 2*reserveDivisor))
	}
	small, peers := min(smallReserve, connections/reserveDivisor), min(peerReserve, connections/reserveDivisor)
	return shares{
		connections: ledger{total: connections, accounts: [classes]account{
			Clients: {max: connections},
			Peers:   {reserved: peers, max: connections * maxPeerConnections / 100},
			Probes:  {reserved: small, max: max(small, connections*maxSmallShare/100)},
			Metrics: {reserved: small, max: max(small, connections*maxSmallShare/100)},
		}},
		bytes: ledger{total: bytes, accounts: [classes]account{
			Clients: {max: bytes},
			Peers:   {reserved: bytes * peerByteShare / 100, max: bytes * maxPeerShare / 100},
			Probes:  {reserved: bytes * smallByteShare / 100, max: bytes * maxSmallShare / 100},
			Metrics: {reserved: bytes * smallByteShare / 100, max: bytes * maxSmallShare / 100},
		}},
		maxHeaderBytes: bytes * headerShare / 100,
	}
}
