/** State of one process of the system, as it reported it itself or as derived from the host list. */
export interface MemberReport {
    readonly hostId: string;
    readonly role: string;
    readonly availabilityZone: string;
    /** Configuration revision in force in the process; 0 if unknown. */
    readonly configurationRevision: number;
    /** Membership state, or `unheard` for a host of the host list that has not reported. */
    readonly state: string;
}
