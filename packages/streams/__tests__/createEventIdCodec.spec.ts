import { type AccountId, createHasher, type Hasher, type RequestId, type UpstreamId } from "@ibislanding/core";
import { createEventIdCodec, type EventIdCodec, type StreamBinding, type StreamPosition } from "@ibislanding/streams";
import fc from "fast-check";

const binding: StreamBinding = { accountId: "mobile" as AccountId, bodySha256: "ab" };
const position: StreamPosition = {
    requestId: "r1" as RequestId,
    upstreamId: "engine-1" as UpstreamId,
    tokens: 7,
    digest: "00ff",
};

describe("createEventIdCodec", () => {
    let hasher: Hasher;
    let codec: EventIdCodec;
    let id: string;
    beforeAll(async () => {
        hasher = await createHasher();
        codec = createEventIdCodec("s".repeat(32), hasher);
        id = codec.encode(position, binding);
    });

    it("decodes an id encoded by another instance with the same secret", () => {
        expect(createEventIdCodec("s".repeat(32), hasher).decode(id, binding).val).toEqual(position);
    });

    it.each([
        ["another account", { ...binding, accountId: "web" as AccountId }],
        ["another body", { ...binding, bodySha256: "cd" }],
    ])("rejects an id of %s", (_title, other) => {
        expect(codec.decode(id, other).err).toBe(true);
    });

    it("rejects every altered id", () => {
        fc.assert(
            fc.property(fc.nat(id.length - 1), fc.constantFrom(..."aZ9~.-"), (index, character) => {
                const changed = id.slice(0, index) + character + id.slice(index + 1);
                return changed === id || codec.decode(changed, binding).err;
            }),
            { seed: 11, numRuns: 500 },
        );
    });

    it("rejects arbitrary strings without throwing", () => {
        fc.assert(fc.property(fc.string({ maxLength: 700 }), text => codec.decode(text, binding).err), {
            seed: 12,
            numRuns: 500,
        });
    });
});
