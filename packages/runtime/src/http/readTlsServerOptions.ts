import { readFileSync } from "node:fs";
import type { TlsSettings } from "../settings/tlsSettings";

/** Reads the files of a certificate into the options of a TLS server. */
export const readTlsServerOptions = (settings: Exclude<TlsSettings, "off">) => ({
    cert: readFileSync(settings.certificateFile),
    key: readFileSync(settings.privateKeyFile),
    ...(settings.clientAuthorityFile === undefined
        ? {}
        : { ca: readFileSync(settings.clientAuthorityFile), requestCert: true, rejectUnauthorized: true }),
});
