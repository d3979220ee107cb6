package codec

import (
	"math"
	"time"

	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/wire"
)

// RenewalToWire converts a renewal. It sets only the number and the items of the
// request; the caller adds the process, its incarnation, the usage and the rest.
func RenewalToWire(renewal quota.Renewal) *wire.DrawRequest {
	request := &wire.DrawRequest{Number: renewal.Number, Items: make(map[string]*wire.DrawItem, len(renewal.Limits))}
	item := func(customer string) *wire.DrawItem {
		if request.Items[customer] == nil {
			request.Items[customer] = &wire.DrawItem{}
		}
		return request.Items[customer]
	}
	for customer, limit := range renewal.Limits {
		item(customer).Rate, item(customer).Burst = limit.Rate, limit.Burst
	}
	for customer, calls := range renewal.Calls {
		item(customer).Calls = calls
	}
	for customer, units := range renewal.Ahead {
		item(customer).Ahead = units
	}
	for customer, units := range renewal.Back {
		item(customer).Back = units
	}
	for customer, demand := range renewal.Demand {
		item(customer).Demand = floats(demand)
	}
	return request
}

// RenewalFromWire is the inverse of RenewalToWire.
func RenewalFromWire(request *wire.DrawRequest) quota.Renewal {
	renewal := quota.Renewal{
		Entry:  request.Process,
		Number: request.Number,
		Limits: make(map[string]quota.Limit),
		Calls:  make(map[string][]float64),
		Ahead:  make(quota.Amounts),
		Back:   make(quota.Amounts),
	}
	for customer, item := range request.Items {
		if request.Number > 0 {
			renewal.Limits[customer] = quota.Limit{Rate: item.Rate, Burst: item.Burst}
		}
		renewal.Ahead[customer] = item.Ahead
		renewal.Back[customer] = item.Back
		if len(item.Calls) > 0 {
			renewal.Calls[customer] = item.Calls
		}
	}
	if !request.Partial {
		renewal.Demand = make(map[string]quota.Demand, len(request.Items))
	}
	for customer, item := range request.Items {
		if len(item.Demand) == quota.Classes && renewal.Demand != nil {
			renewal.Demand[customer] = fromFloats(item.Demand)
		}
	}
	return renewal
}

func floats(values [quota.Classes]float64) []float32 {
	converted := make([]float32, len(values))
	for i, value := range values {
		converted[i] = float32(value)
	}
	return converted
}

// fromFloats is the inverse of floats. Negative values and those that are no numbers become 0.
func fromFloats(values []float32) [quota.Classes]float64 {
	var converted [quota.Classes]float64
	for i, value := range values {
		if value > 0 && !math.IsInf(float64(value), 0) {
			converted[i] = float64(value)
		}
	}
	return converted
}

// GrantToWire converts a grant.
func GrantToWire(grant quota.Grant) *wire.DrawResponse {
	response := &wire.DrawResponse{
		Units:   grant.Units,
		WaitMs:  make(map[string]float64, len(grant.Wait)),
		Entries: int32(grant.Entries),
		Number:  grant.Number,
	}
	for customer, wait := range grant.Wait {
		response.WaitMs[customer] = float64(wait) / float64(time.Millisecond)
	}
	if len(grant.Shares) > 0 {
		response.Shares = make(map[string]*wire.ClassShares, len(grant.Shares))
	}
	for customer, shares := range grant.Shares {
		response.Shares[customer] = &wire.ClassShares{Shares: floats(shares)}
	}
	return response
}

// GrantFromWire is the inverse of GrantToWire.
func GrantFromWire(response *wire.DrawResponse) quota.Grant {
	grant := quota.Grant{
		Units:   response.Units,
		Wait:    make(map[string]time.Duration, len(response.WaitMs)),
		Entries: int(response.Entries),
		Number:  response.Number,
	}
	for customer, ms := range response.WaitMs {
		grant.Wait[customer] = time.Duration(ms * float64(time.Millisecond))
	}
	if len(response.Shares) > 0 {
		grant.Shares = make(map[string]quota.Shares, len(response.Shares))
	}
	for customer, shares := range response.Shares {
		if len(shares.GetShares()) == quota.Classes {
			grant.Shares[customer] = fromFloats(shares.Shares)
		}
	}
	return grant
}
