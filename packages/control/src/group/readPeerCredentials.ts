import type { PeerCredentials } from "@ibislanding/protocol";
import type { TlsSettings } from "@ibislanding/runtime";
import { readFileSync } from "node:fs";

/** Reads the certificates for the connections between processes; undefined when TLS is off. */
export const readPeerCredentials = (tls: TlsSettings): PeerCredentials | undefined => {
    if (tls === "off") {
        return undefined;
    }
    const certificatePem = readFileSync(tls.certificateFile, "utf8");
    return {
        authoritiesPem: readFileSync(tls.clientAuthorityFile ?? tls.certificateFile, "utf8"),
        certificatePem,
        privateKeyPem: readFileSync(tls.privateKeyFile, "utf8"),
    };
};
