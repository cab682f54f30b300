import { create } from '@bufbuild/protobuf';
import { CreditSchema, type Credit } from '../gen/magnoliakeel/v1/peer_pb';

interface Slot {
  generation: number;
  /** Incarnation of the entry that holds the current credit or whose task uses the slot. */
  holder: string | undefined;
  /** Whether a task occupies the slot. */
  busy: boolean;
}

/**
 * The numbered slots of a backend server. A credit names a slot and its
 * generation. The generation is raised whenever a credit is revoked, reassigned
 * or its slot is released, so that earlier credits are recognised as stale.
 *
 * Slots keep their numbers and generations for the lifetime of the sidecar,
 * also when the backend server is replaced by another one.
 */
export default class SlotTable {
  private readonly slots: Slot[] = [];

  /** Slots with this number or a higher one accept no tasks. */
  private openLimit = 0;

  private constructor() {}

  /** Creates an empty table, for a sidecar without a backend server. */
  static create(): SlotTable {
    return new SlotTable();
  }

  /** Number of slots that accept tasks. */
  get openCount(): number {
    return this.openLimit;
  }

  /** Number of slots with a running task, including those of a backend server that has left. */
  get busyCount(): number {
    return this.slots.filter((slot) => slot.busy).length;
  }

  /** Opens this many slots. Credits issued earlier become stale. */
  open(count: number): void {
    this.close();
    while (this.slots.length < count) {
      this.slots.push({ generation: 1, holder: undefined, busy: false });
    }
    this.openLimit = count;
  }

  /** Closes all slots, invalidates their idle credits and returns the numbers of the slots that were open. */
  close(): number[] {
    const numbers = this.slots.slice(0, this.openLimit).map((_, number) => number);
    this.slots.forEach((slot) => {
      if (!slot.busy) invalidateCredit(slot);
    });
    this.openLimit = 0;
    return numbers;
  }

  /** Whether the credit is valid for starting a task. */
  isCurrent(credit: Credit): boolean {
    return this.findSlot(credit) !== undefined;
  }

  /** Consumes a credit for a task of this entry; false when the credit is stale. */
  occupy(credit: Credit, entry: string): boolean {
    const slot = this.findSlot(credit);
    if (!slot) return false;
    slot.busy = true;
    slot.holder = entry;
    return true;
  }

  /** Occupies any idle slot for a task that came without a credit; undefined when all are busy. */
  occupyIdle(entry: string): number | undefined {
    const number = this.slots.findIndex((slot, at) => at < this.openLimit && !slot.busy);
    const slot = this.slots[number];
    if (!slot) return undefined;
    invalidateCredit(slot);
    Object.assign(slot, { busy: true, holder: entry });
    return number;
  }

  /** Frees a slot whose task has ended. Its next credit is unassigned. */
  release(number: number): void {
    const slot = this.slots[number];
    if (!slot) return;
    slot.busy = false;
    invalidateCredit(slot);
  }

  /** Issues the credit of an idle slot to an entry; undefined when the slot is busy or closed. */
  issueCredit(number: number, entry: string): Credit | undefined {
    const slot = this.slots[number];
    if (!slot || slot.busy || number >= this.openLimit) return undefined;
    if (slot.holder !== undefined) invalidateCredit(slot);
    slot.holder = entry;
    return create(CreditSchema, { slot: number, generation: slot.generation });
  }

  /** Numbers of the idle slots whose credit no entry holds. */
  unassigned(): number[] {
    return this.openNumbersWhere((slot) => !slot.busy && slot.holder === undefined);
  }

  /** Number of unused credits issued to an entry; lending between entries is not visible here. */
  idleCreditsOf(entry: string): number {
    return this.openNumbersWhere((slot) => !slot.busy && slot.holder === entry).length;
  }

  /** Revokes the unused credits issued to an entry; their slots become unassigned. */
  revokeAllOf(entry: string): void {
    this.openNumbersWhere((slot) => !slot.busy && slot.holder === entry).forEach((number) =>
      this.release(number),
    );
  }

  /** Revokes a credit; false when it was stale or already used. */
  revoke(credit: Credit): boolean {
    const slot = this.findSlot(credit);
    if (!slot) return false;
    invalidateCredit(slot);
    return true;
  }

  private findSlot(credit: Credit): Slot | undefined {
    const slot = this.slots[credit.slot];
    if (!slot || credit.slot >= this.openLimit) return undefined;
    if (slot.busy || slot.holder === undefined) return undefined;
    return slot.generation === credit.generation ? slot : undefined;
  }

  private openNumbersWhere(matches: (slot: Slot) => boolean): number[] {
    const numbers: number[] = [];
    this.slots.slice(0, this.openLimit).forEach((slot, number) => {
      if (matches(slot)) numbers.push(number);
    });
    return numbers;
  }
}

function invalidateCredit(slot: Slot): void {
  Object.assign(slot, { generation: slot.generation + 1, holder: undefined });
}
