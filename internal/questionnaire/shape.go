package questionnaire

import "fmt"

// resolveShapes sets the shape of each service with same_shape_as to a copy of
// the shape that it refers to.
func (c *checker) resolveShapes() {
	serviceByName := make(map[string]int, len(c.q.Services))
	for i, s := range c.q.Services {
		if _, ok := serviceByName[s.Name]; !ok {
			serviceByName[s.Name] = i
		}
	}
	for i := range c.q.Services {
		c.resolveShape(i, serviceByName)
	}
}

func (c *checker) resolveShape(i int, serviceByName map[string]int) {
	s := &c.q.Services[i]
	path := fmt.Sprintf("services[%d]", i)
	switch {
	case s.SameShapeAs == "" && s.Shape == nil:
		c.addValueFault(path+".shape", "the answer is missing", "give shape or same_shape_as")
	case s.SameShapeAs != "" && c.doc.HasField(path+".shape"):
		c.addValueFault(path+".same_shape_as", "shape is given too", "give one of the two")
	case s.SameShapeAs != "":
		s.Shape = c.resolveSameShape(path+".same_shape_as", i, serviceByName)
	}
}

// resolveSameShape follows same_shape_as from service i, possibly through several
// services, and returns a copy of the shape. It adds a fault and returns nil if
// there is none.
func (c *checker) resolveSameShape(path string, i int, serviceByName map[string]int) *Shape {
	current := i
	for range c.q.Services {
		next, ok := serviceByName[c.q.Services[current].SameShapeAs]
		if !ok {
			c.addReferenceFault(path, fmt.Sprintf("there is no service %q", c.q.Services[current].SameShapeAs), "name a service that gives its shape")
			return nil
		}
		current = next
		if c.q.Services[current].SameShapeAs == "" {
			return c.copyShape(path, current)
		}
	}
	c.addReferenceFault(path, "the services refer to each other in a circle", "give the shape of one of them")
	return nil
}

func (c *checker) copyShape(path string, source int) *Shape {
	s := c.q.Services[source].Shape
	if s == nil {
		c.addReferenceFault(path, fmt.Sprintf("service %q gives no shape", c.q.Services[source].Name), "name a service that gives its shape")
		return nil
	}
	shape := *s
	return &shape
}

// checkShape validates a shape, unless it was copied from another service, and
// fills in the default of replicas_per_shard.
func (c *checker) checkShape(path string, s *Shape) {
	if c.doc.HasField(path) {
		c.checkRange(path+".replicas", s.Replicas, 1, maxReplicas)
		c.checkRange(path+".slots", s.Slots, 1, maxSlots)
		c.checkRange(path+".connections", s.Connections, 1, maxConnections)
		c.checkRange(path+".connection_cost_ms", s.ConnectionCostMS, 0, maxConnectMS)
		c.checkRange(path+".shards", s.Shards, 1, maxShards)
		c.checkRange(path+".shard_us", s.ShardUS, 1, maxShardUS)
		c.checkReplicasPerShard(path+".replicas_per_shard", s)
	}
	if s.ReplicasPerShard == 0 {
		s.ReplicasPerShard = s.Replicas
	}
}

func (c *checker) checkReplicasPerShard(path string, s *Shape) {
	if c.doc.HasField(path) && (s.ReplicasPerShard < 1 || s.ReplicasPerShard > s.Replicas) {
		c.addValueFault(path, fmt.Sprintf("got %d", s.ReplicasPerShard), fmt.Sprintf("want 1 to replicas, which is %d", s.Replicas))
	}
}
