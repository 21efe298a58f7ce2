/** IP address and TCP port on which an upstream listens. */
export interface UpstreamAddress {
    readonly ip: string;
    readonly port: number;
}
