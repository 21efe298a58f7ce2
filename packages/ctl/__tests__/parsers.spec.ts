import { parseManifestText } from "@ibislanding/resources";
import fc from "fast-check";
import { createSseParser } from "../src/client/createSseParser";
import { parseResponse } from "../src/client/parseResponse";
import { diffLines } from "../src/queries/diffLines";

const RUNS = { seed: 20261203, numRuns: 500 };

describe("parsers", () => {
    it("parse the same events from a stream however it is split into chunks", () => {
        const event = fc.record({
            event: fc.constantFrom("change", "other"),
            id: fc.nat().map(String),
            data: fc.json(),
        });
        fc.assert(
            fc.property(fc.array(event), fc.infiniteStream(fc.integer({ min: 1, max: 40 })), (events, sizes) => {
                const text = events.map(({ event: name, id, data }) => `event: ${name}\nid: ${id}\ndata: ${data}\n\n`)
                    .join("");
                const parser = createSseParser();
                const received = [];
                for (let start = 0; start < text.length;) {
                    const size = sizes.next().value as number;
                    received.push(...parser.push(text.slice(start, start + size)));
                    start += size;
                }
                expect(received).toEqual(events);
            }),
            RUNS,
        );
    });

    it("accept any text as a stream, response or manifest without throwing", () => {
        fc.assert(
            fc.property(fc.string({ unit: "binary" }), fc.integer({ min: 100, max: 599 }), (text, status) => {
                createSseParser().push(`${text}\n\n`);
                parseResponse({ status, body: text });
                expect(parseManifestText(text).err).toBe(true);
            }),
            RUNS,
        );
    });

    it("find no difference between a value and itself", () => {
        fc.assert(
            fc.property(fc.object(), value => expect(diffLines(value, structuredClone(value))).toEqual([])),
            RUNS,
        );
    });
});
