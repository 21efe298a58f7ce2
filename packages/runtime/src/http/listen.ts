import type { Server } from "node:http";

/** Starts listening on `ip:port`; rejects when the address cannot be bound. */
export const listen = (server: Server, address: string): Promise<void> =>
    new Promise((resolve, reject) => {
        const separator = address.lastIndexOf(":");
        server.once("error", reject);
        server.listen({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }, () => {
            server.off("error", reject);
            resolve();
        });
    });
