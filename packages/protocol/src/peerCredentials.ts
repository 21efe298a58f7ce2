/** PEM-encoded credentials for mutual TLS between the processes of the system. */
export interface PeerCredentials {
    /** Certificates of the authorities that sign the certificates of the processes. */
    readonly authoritiesPem: string;
    readonly certificatePem: string;
    readonly privateKeyPem: string;
}
