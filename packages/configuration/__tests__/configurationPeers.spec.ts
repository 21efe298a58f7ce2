import { createConfigurationPeers, createConfigurationService } from "@ibislanding/configuration";
import type { Revision } from "@ibislanding/core";
import { createPeerClients, createPeerServer } from "@ibislanding/protocol";
import { type ConfigurationDocument, emptyConfiguration } from "@ibislanding/resources";

const documentAt = (revision: number, padding = ""): ConfigurationDocument => ({
    revision: revision as Revision,
    resources: [],
    recentChanges: padding === "" ? [] : [{ changedBy: padding } as never],
});

describe("configuration peers over gRPC", () => {
    it("fetches newer documents, and sends large ones only to peers that need them", async () => {
        let current: ConfigurationDocument | undefined;
        const offered: number[] = [];
        const service = createConfigurationService({
            current: () => current,
            offer: async document => {
                offered.push(document.revision);
                current = document;
                return 0;
            },
        });
        await using server = (await createPeerServer({ address: "127.0.0.1:0", services: [service] })).unwrap();
        await using clients = createPeerClients();
        const peers = createConfigurationPeers({ clients, sample: () => [server.address] });

        expect((await peers.fetch(server.address, undefined)).unwrap()).toEqual({});
        current = emptyConfiguration;
        expect((await peers.fetch(server.address, undefined)).unwrap().document).toEqual(emptyConfiguration);
        expect((await peers.fetch(server.address, 0 as Revision)).unwrap()).toEqual({ revision: 0 });

        const large = "x".repeat(10_000);
        expect((await peers.announce(server.address, documentAt(1))).ok).toBe(true);
        expect((await peers.announce(server.address, documentAt(2, large))).ok).toBe(true);
        expect((await peers.announce(server.address, documentAt(2, large))).ok).toBe(true);
        expect((await peers.announce(server.address, documentAt(1, large))).ok).toBe(true);
        expect(offered).toEqual([1, 2]);
    });
});
