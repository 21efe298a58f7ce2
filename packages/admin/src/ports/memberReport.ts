/** Report of one process of the system about itself. */
export interface MemberReport {
    readonly hostId: string;
    readonly role: string;
    readonly availabilityZone: string;
    /** Configuration revision in force in the process; 0 if unknown. */
    readonly configurationRevision: number;
    readonly state: string;
}
