package questionnaire

import "fmt"

// resolveShapes gives each service that has the shape of another a copy of it.
func (c *checker) resolveShapes() {
	byName := make(map[string]int, len(c.q.Services))
	for i, s := range c.q.Services {
		if _, ok := byName[s.Name]; !ok {
			byName[s.Name] = i
		}
	}
	for i := range c.q.Services {
		c.resolveShape(i, byName)
	}
}

func (c *checker) resolveShape(i int, byName map[string]int) {
	s := &c.q.Services[i]
	path := fmt.Sprintf("services[%d]", i)
	switch {
	case s.SameShapeAs == "" && s.Shape == nil:
		c.value(path+".shape", "the answer is missing", "give shape or same_shape_as")
	case s.SameShapeAs != "" && c.doc.HasField(path+".shape"):
		c.value(path+".same_shape_as", "shape is given too", "give one of the two")
	case s.SameShapeAs != "":
		s.Shape = c.shapeOf(path+".same_shape_as", i, byName)
	}
}

// shapeOf follows same_shape_as from service i to a shape, or reports why there
// is none.
func (c *checker) shapeOf(path string, i int, byName map[string]int) *Shape {
	at := i
	for range c.q.Services {
		next, ok := byName[c.q.Services[at].SameShapeAs]
		if !ok {
			c.reference(path, fmt.Sprintf("there is no service %q", c.q.Services[at].SameShapeAs), "name a service that gives its shape")
			return nil
		}
		at = next
		if c.q.Services[at].SameShapeAs == "" {
			return c.copyShape(path, at)
		}
	}
	c.reference(path, "the services refer to each other in a circle", "give the shape of one of them")
	return nil
}

func (c *checker) copyShape(path string, at int) *Shape {
	s := c.q.Services[at].Shape
	if s == nil {
		c.reference(path, fmt.Sprintf("service %q gives no shape", c.q.Services[at].Name), "name a service that gives its shape")
		return nil
	}
	shape := *s
	return &shape
}

// shape checks the numbers of a shape that the service itself gives, and fills
// in the default.
func (c *checker) shape(path string, s *Shape) {
	if c.doc.HasField(path) {
		c.within(path+".replicas", s.Replicas, 1, maxReplicas)
		c.within(path+".slots", s.Slots, 1, maxSlots)
		c.within(path+".connections", s.Connections, 1, maxConnections)
		c.within(path+".connection_cost_ms", s.ConnectionCostMS, 0, maxConnectMS)
		c.within(path+".shards", s.Shards, 1, maxShards)
		c.within(path+".shard_us", s.ShardUS, 1, maxShardUS)
		c.replicasPerShard(path+".replicas_per_shard", s)
	}
	if s.ReplicasPerShard == 0 {
		s.ReplicasPerShard = s.Replicas
	}
}

func (c *checker) replicasPerShard(path string, s *Shape) {
	if c.doc.HasField(path) && (s.ReplicasPerShard < 1 || s.ReplicasPerShard > s.Replicas) {
		c.value(path, fmt.Sprintf("got %d", s.ReplicasPerShard), fmt.Sprintf("want 1 to replicas, which is %d", s.Replicas))
	}
}
