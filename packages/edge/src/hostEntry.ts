/** Address of a host as stored for the other hosts. */
export interface HostEntry {
    /** `ip:port` of the listener for other hosts. */
    readonly address: string;
    readonly availabilityZone: string;
    /** `ip:port` of the listener for relayed requests, if it has one. */
    readonly relayAddress?: string | undefined;
    /** Processing capacity, in cores of the reference speed. */
    readonly cores: number;
}
