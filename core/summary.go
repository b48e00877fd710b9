package core

// Summary is what a node reports on behalf of its failure domain, for nodes in other ones.
type Summary struct {
	// Demands is the demand at the sender's node for each service of the document, in the order of the names, in hundredths of
	// a slot. It is empty if the summary carries none.
	Demands []uint32
	// Neighbors are some other instances of the sender's service and domain that would start a call at once.
	Neighbors []Neighbor
}

// Neighbor is the load of an instance as another node reports it.
type Neighbor struct {
	// Instance is the NeighborHash of the instance.
	Instance uint32
	// InUse counts the calls in flight or queued; the others are as in LoadReport.
	InUse int
	Limit int
	Pace  float64
}

// NeighborHash returns the hash that identifies an instance in a summary: half of its InstanceHash.
func NeighborHash(name string) uint32 { return uint32(InstanceHash(name)) }

// ServiceNames returns the sorted names of the services of the document.
func (s *Snapshot) ServiceNames() []string {
	if s == nil {
		return nil
	}
	return s.serviceNames
}
