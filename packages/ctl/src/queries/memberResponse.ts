/** One process of the system as the administration API answers it. */
export interface MemberResponse {
    readonly hostId: string;
    readonly role: string;
    readonly availabilityZone: string;
    readonly configurationRevision: number;
    readonly state: string;
}
