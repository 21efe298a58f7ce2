import { readFileSync } from "node:fs";
import type { TlsSettings } from "../settings/tlsSettings";

/** Reads the certificate files into TLS server options; a client authority makes client certificates mandatory. */
export const readTlsServerOptions = (settings: Exclude<TlsSettings, "off">) => ({
    cert: readFileSync(settings.certificateFile),
    key: readFileSync(settings.privateKeyFile),
    ...(settings.clientAuthorityFile === undefined
        ? {}
        : { ca: readFileSync(settings.clientAuthorityFile), requestCert: true, rejectUnauthorized: true }),
});
