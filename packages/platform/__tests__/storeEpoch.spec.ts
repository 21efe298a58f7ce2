import { createStoreEpoch } from "../src";

const observeAll = (epochs: readonly number[]) => {
    const epoch = createStoreEpoch();
    const rises: number[] = [];
    epoch.onRise(risen => rises.push(risen));
    epochs.forEach(epoch.observe);
    return { current: epoch.current(), rises };
};

test("a rise is reported, the first known epoch is not, and a lower one has no effect", () => {
    expect(observeAll([4, 4, 3, 5, 4, 7])).toEqual({ current: 7, rises: [5, 7] });
});

test("a store that was never restored may state epoch 0: its first restoration is a rise", () => {
    expect(observeAll([0, 0, 1])).toEqual({ current: 1, rises: [1] });
});
