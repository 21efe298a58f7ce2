import { type AddressInfo, connect, createServer } from "node:net";
import { createLinkProxy } from "../src";

test("delivers delayed bytes before bytes sent after the delay was lifted", async () => {
    const server = createServer(socket => {
        // Disposing of the link resets the connections that are still open.
        socket.on("error", () => undefined);
        socket.write("first ");
        setTimeout(() => socket.end("second"), 40);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    await using link = await createLinkProxy((server.address() as AddressInfo).port);
    link.setMode("delay");
    const caller = connect(link.port, "127.0.0.1");
    setTimeout(() => link.setMode("pass"), 20);
    const chunks: Buffer[] = [];
    for await (const chunk of caller) {
        chunks.push(chunk as Buffer);
    }
    server.close();
    expect(Buffer.concat(chunks).toString()).toBe("first second");
});

test("passes on a reset that arrives together with the last bytes, and not an end", async () => {
    const server = createServer(socket => {
        // Disposing of the link resets the connections that are still open.
        socket.on("error", () => undefined);
        setTimeout(() => {
            socket.write("part");
            socket.resetAndDestroy();
        }, 40);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    await using link = await createLinkProxy((server.address() as AddressInfo).port);
    const caller = connect({ port: link.port, host: "127.0.0.1", allowHalfOpen: true });
    caller.resume();
    const seen = await new Promise<string>(resolve => {
        caller.once("error", error => resolve((error as NodeJS.ErrnoException).code ?? error.message));
        // The caller is not told of a reset that arrives with the last bytes either, unless it writes.
        caller.once(
            "end",
            () => caller.write("", error => resolve(error === undefined || error === null ? "end" : "reset")),
        );
    });
    server.close();
    expect(["ECONNRESET", "reset"]).toContain(seen);
});
