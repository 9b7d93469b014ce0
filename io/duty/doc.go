// Package duty holds the lease of the duties that one VM at a time has, and carries out the
// report of usage to the platform.
//
// # Usage
//
//	h, err := duty.NewHolder(duty.HolderConfig{VM: vm, Service: store, Nonce: nonce, ...})
//	timers.Every("duty", duty.TickInterval, h.Tick)
//	go h.Run(ctx)
//	if p, ok := h.Permit(time.Now(), time.Second); ok {
//		err := api.ReportUsage(ctx, p, report) // ctx ends within the second
//		if errors.Is(err, coreduty.ErrFenced) {
//			h.Refused(p)
//		}
//	}
package duty
