/** What one process of the system reports about itself. */
export interface MemberReport {
    readonly hostId: string;
    readonly role: string;
    readonly availabilityZone: string;
    /** Configuration revision that is in force in the process. */
    readonly configurationRevision: number;
    readonly state: string;
}
