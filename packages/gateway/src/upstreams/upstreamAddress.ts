/** Where an upstream listens. */
export interface UpstreamAddress {
    readonly ip: string;
    readonly port: number;
}
