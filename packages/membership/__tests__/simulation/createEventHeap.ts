interface Scheduled {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

const isBefore = (left: Scheduled, right: Scheduled): boolean =>
    left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Creates a binary heap of callbacks, ordered by time and, for equal times, by insertion. */
export const createEventHeap = () => {
    const heap: Scheduled[] = [];
    let nextOrder = 0;

    const at = (index: number): Scheduled => heap[index] as Scheduled;
    const swap = (left: number, right: number): void => {
        [heap[left], heap[right]] = [at(right), at(left)];
    };
    const firstChild = (index: number): number => {
        const [left, right] = [2 * index + 1, 2 * index + 2];
        return right < heap.length && isBefore(at(right), at(left)) ? right : left;
    };

    return {
        push: (atMs: number, run: () => void): void => {
            heap.push({ atMs, order: nextOrder++, run });
            for (let index = heap.length - 1; index > 0;) {
                const parent = (index - 1) >> 1;
                if (!isBefore(at(index), at(parent))) {
                    return;
                }
                swap(index, parent);
                index = parent;
            }
        },
        pop: (untilMs: number): Scheduled | undefined => {
            if (heap.length === 0 || at(0).atMs > untilMs) {
                return undefined;
            }
            const first = at(0);
            const last = heap.pop() as Scheduled;
            if (heap.length > 0) {
                heap[0] = last;
            }
            for (let index = 0, child = firstChild(0); child < heap.length; index = child, child = firstChild(child)) {
                if (!isBefore(at(child), at(index))) {
                    break;
                }
                swap(index, child);
            }
            return first;
        },
    };
};
