/** Address of a host as stored for the other hosts. */
export interface HostEntry {
    /** `ip:port` of the listener for other hosts. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Processing capacity, in cores of the reference speed. */
    readonly cores: number;
}
