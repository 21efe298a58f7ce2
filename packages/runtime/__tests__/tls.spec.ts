import { createHttpListener, sendJson } from "@ibislanding/runtime";
import { copyFileSync, mkdtempSync, readFileSync } from "node:fs";
import { request } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TLSSocket } from "node:tls";

const fixture = (name: string): string => join(__dirname, "certificates", name);

const authorities = ["first", "second"].map(name => readFileSync(fixture(`${name}.cert.pem`)));

/** Returns the subject of the certificate that a listener presents. */
const readSubject = (url: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const outgoing = request(url, { ca: authorities, agent: false }, response => {
            response.resume();
            resolve(String((response.socket as TLSSocket).getPeerCertificate().subject.CN));
        });
        outgoing.on("error", reject);
        outgoing.end();
    });

describe("createHttpListener with TLS", () => {
    it("serves the configured certificate and picks up its replacement without a restart", async () => {
        const directory = mkdtempSync(join(tmpdir(), "ibis-tls-"));
        const certificateFile = join(directory, "cert.pem");
        const privateKeyFile = join(directory, "key.pem");
        const install = (name: string): void => {
            copyFileSync(fixture(`${name}.cert.pem`), certificateFile);
            copyFileSync(fixture(`${name}.key.pem`), privateKeyFile);
        };
        install("first");
        const tls = { certificateFile, privateKeyFile };
        await using listener = await createHttpListener(
            { address: "127.0.0.1", port: 0, tls },
            async (_request, response) => sendJson(response, 200, {}),
        );
        expect(await readSubject(listener.url)).toBe("first");

        install("second");
        while (await readSubject(listener.url) === "first") {
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        expect(await readSubject(listener.url)).toBe("second");
    });

    it("rejects clients without a certificate when a client authority is configured", async () => {
        const tls = {
            certificateFile: fixture("first.cert.pem"),
            privateKeyFile: fixture("first.key.pem"),
            clientAuthorityFile: fixture("second.cert.pem"),
        };
        await using listener = await createHttpListener(
            { address: "127.0.0.1", port: 0, tls },
            async (_request, response) => sendJson(response, 200, {}),
        );
        await expect(readSubject(listener.url)).rejects.toThrow();
    });
});
