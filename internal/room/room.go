// Package room runs core/room at an entry.
package room

import (
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/room"
)

// enoughDivisor is the part of the target within which a predicted beginning needs no closer look.
const enoughDivisor = 2

func capacityOf(c placement.Contention) room.Capacity {
	return room.Capacity{Servers: c.Servers, Start: c.Start, Urgent: c.Urgent, Soon: c.Soon, Rate: c.Rate, Spare: c.Spare}
}
