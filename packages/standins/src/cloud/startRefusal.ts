/** Rule by which host starts are refused; a field that is not set matches every request. */
export interface StartRefusal {
    readonly availabilityZone?: string;
    readonly machineClass?: string;
    readonly reclaimable?: boolean;
    readonly retryAfterMs?: number;
}
