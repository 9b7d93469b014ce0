package member_test

import (
	"fmt"
	"net/netip"
	"time"

	"gentianwell/core/member"
)

func ExampleView() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	v, err := member.New(member.Config{Zone: "sala"})
	if err != nil {
		fmt.Println(err)
		return
	}
	address := netip.MustParseAddrPort("127.0.0.1:80")
	e1 := member.VM{ID: "e1", Zone: "sala", Role: member.RoleEntry, Address: address, State: member.StateLive}
	e2 := member.VM{ID: "e2", Zone: "koping", Role: member.RoleEntry, Address: address, State: member.StateLive}
	v.SetList(now, member.VMs{e1, e2})

	// e2 states that it is leaving; the platform's list does not show that yet.
	e2.State = member.StateLeaving
	v.ApplyStatement(now, member.Statement{VM: e2, Incarnation: 1, Sequence: 1})
	for _, verdict := range v.Verdicts(now, member.RoleEntry) {
		fmt.Println(verdict.VM.ID, verdict.Usable, verdict.Reason)
	}
	// Output:
	// e1 true listed
	// e2 false saysLeaving
}
