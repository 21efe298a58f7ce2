/** Mutual TLS between the processes of the system, PEM texts. */
export interface PeerCredentials {
    /** Certificates of the authorities that sign the processes' certificates. */
    readonly authoritiesPem: string;
    readonly certificatePem: string;
    readonly privateKeyPem: string;
}
