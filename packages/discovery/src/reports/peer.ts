/** Another host that takes part in the exchange of reports. */
export interface Peer {
    /** `ip:port` of its listener for other hosts. */
    readonly address: string;
    /** Hosts of a group, such as those of an availability zone, share a collector. */
    readonly group: string;
}
