// Package peerpb holds the messages and the service that entry VMs use among
// each other, generated from peer.proto by "make generate".
//
// # Usage
//
//	client := peerpb.NewDRPCPeerClient(conn)
//	reply, err := client.Exchange(ctx, &peerpb.ExchangeRequest{Vm: "e1"})
package peerpb
