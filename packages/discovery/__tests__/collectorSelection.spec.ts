import { createFakeClock } from "@ibislanding/core";
import { createCollectorSelection } from "../src/reports/createCollectorSelection";

const hosts = ["a", "b", "c"].map(address => ({ address, group: "zone-a/0" }));

test("candidates are listed in order of preference, and one that failed is left out until its backoff ends", async () => {
    const clock = createFakeClock();
    const selection = createCollectorSelection(clock);
    selection.setHosts([...hosts, { address: "d", group: "zone-b/0" }]);
    expect(selection.groups()).toEqual(["zone-a/0", "zone-b/0"]);
    selection.recordFailure("a");
    expect(selection.candidates("zone-a/0")).toEqual(["b", "c"]);
    await clock.advance(2_000);
    expect(selection.candidates("zone-a/0")).toEqual(["a", "b", "c"]);
});

test("the backoff doubles with each failure up to its maximum and starts anew after a success", async () => {
    const clock = createFakeClock();
    const selection = createCollectorSelection(clock);
    selection.setHosts(hosts);
    Array.from({ length: 10 }).forEach(() => selection.recordFailure("a"));
    await clock.advance(29_999);
    expect(selection.candidates("zone-a/0")).toEqual(["b", "c"]);
    await clock.advance(1);
    expect(selection.candidates("zone-a/0")[0]).toBe("a");
    selection.recordSuccess("a");
    selection.recordFailure("a");
    await clock.advance(2_000);
    expect(selection.candidates("zone-a/0")[0]).toBe("a");
});

test("failures of hosts that are gone are forgotten", () => {
    const selection = createCollectorSelection(createFakeClock());
    selection.setHosts(hosts);
    selection.recordFailure("a");
    selection.setHosts(hosts.slice(1));
    selection.setHosts(hosts);
    expect(selection.candidates("zone-a/0")).toEqual(["a", "b", "c"]);
});
