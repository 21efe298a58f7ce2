import type { IncomingMessage } from "node:http";

/** Reads the whole body of a response as UTF-8; rejects when the connection closes early. */
export const readText = async (response: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of response) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};
