import {
    ConfigurationServiceService,
    createPeerClients,
    createPeerServer,
    createUnaryHandler,
    type PeerCredentials,
} from "@ibislanding/protocol";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { Ok } from "ts-results";

const read = (name: string): string => readFileSync(join(__dirname, "certificates", name), "utf8");

const credentialsOf = (name: string): PeerCredentials => ({
    certificatePem: read(`${name}.cert.pem`),
    privateKeyPem: read(`${name}.key.pem`),
    authoritiesPem: read("first.cert.pem"),
});

const startServer = async () =>
    (await createPeerServer({
        address: "127.0.0.1:0",
        credentials: credentialsOf("first"),
        services: [{
            definition: ConfigurationServiceService,
            implementation: {
                fetch: createUnaryHandler(() => Ok({ revision: 7, document: "" })),
                announce: createUnaryHandler(() => Ok({ revision: 7 })),
            },
        }],
        shutdownTimeoutMs: 100,
    })).unwrap();

describe("mutual TLS between processes", () => {
    it.each<[string, PeerCredentials | undefined, boolean]>([
        ["accepts a peer whose certificate is signed by the authority", credentialsOf("first"), true],
        ["rejects a peer whose certificate the authority did not sign", credentialsOf("second"), false],
        ["rejects a peer without TLS", undefined, false],
    ])("%s", async (_title, credentials, expected) => {
        await using server = await startServer();
        await using clients = createPeerClients({ credentials });
        const answer = await clients.call(server.address, ConfigurationServiceService.fetch, {}, 3_000);
        expect(answer.ok).toBe(expected);
    });
});
