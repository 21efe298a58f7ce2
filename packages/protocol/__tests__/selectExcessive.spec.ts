import type { ReceivingConnection } from "../src/server/receivingConnection";
import { selectExcessive } from "../src/server/selectExcessive";

const connection = (receivedBytes: number, unfinishedMessages = 1): ReceivingConnection => ({
    unfinishedMessages,
    bytesBefore: 100,
    hasCalled: true,
    receivedBytes: () => receivedBytes,
    close: () => undefined,
});

test("connections that hold most are selected, and no more than are needed", () => {
    const [small, large, larger, idle] = [connection(150), connection(500), connection(900), connection(5_000, 0)];
    const all = [small, large, larger, idle];
    expect(selectExcessive(all, 2_000)).toEqual([]);
    expect(selectExcessive(all, 1_000)).toEqual([larger]);
    expect(selectExcessive(all, 400)).toEqual([larger, large]);
});
