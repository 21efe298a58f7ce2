import type { PeerCredentials } from "@ibislanding/protocol";
import type { TlsSettings } from "@ibislanding/runtime";
import { readFileSync } from "node:fs";

/** Reads the mutual TLS files; without a client authority, only the chain in the certificate file is trusted. */
export const readPeerCredentials = (settings: TlsSettings): PeerCredentials | undefined => {
    if (settings === "off") {
        return undefined;
    }
    const certificatePem = readFileSync(settings.certificateFile, "utf8");
    const { clientAuthorityFile } = settings;
    return {
        certificatePem,
        privateKeyPem: readFileSync(settings.privateKeyFile, "utf8"),
        authoritiesPem: clientAuthorityFile === undefined ? certificatePem : readFileSync(clientAuthorityFile, "utf8"),
    };
};
