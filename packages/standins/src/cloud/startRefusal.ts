/** Rule by which starts are refused; a field that is not set matches all. */
export interface StartRefusal {
    readonly availabilityZone?: string;
    readonly machineClass?: string;
    readonly reclaimable?: boolean;
    readonly retryAfterMs?: number;
}
