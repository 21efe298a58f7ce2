/** Process of the system as returned by the administration API. */
export interface MemberResponse {
    readonly hostId: string;
    readonly role: string;
    readonly availabilityZone: string;
    readonly configurationRevision: number;
    readonly state: string;
}
