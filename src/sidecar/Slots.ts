import { create } from '@bufbuild/protobuf';
import { CreditSchema, type Credit } from '../gen/magnoliakeel/v1/peer_pb';

interface Slot {
  generation: number;
  /** The entry incarnation that was given the current credit. */
  holder: string | undefined;
  busy: boolean;
}

/**
 * The numbered slots of a backend server. A credit names a slot and its
 * generation; every change of hands without a task raises the generation, so
 * that a credit from before the change is recognised as stale.
 *
 * A slot keeps its number and generation while the sidecar runs, also when the
 * backend server goes and another comes.
 */
export default class Slots {
  private readonly slots: Slot[] = [];

  /** Slots with this number or a higher one take no tasks. */
  private limit = 0;

  private constructor() {}

  /** Creates the slots of a sidecar whose backend server has not come yet. */
  static create(): Slots {
    return new Slots();
  }

  /** Slots that take tasks now. */
  get open(): number {
    return this.limit;
  }

  /** Slots with a running task, also those of a backend server that went. */
  get busy(): number {
    return this.slots.filter((slot) => slot.busy).length;
  }

  /** Opens this many slots. Credits from before are stale. */
  openUp(count: number): void {
    this.close();
    while (this.slots.length < count) {
      this.slots.push({ generation: 1, holder: undefined, busy: false });
    }
    this.limit = count;
  }

  /** Ends all credits and returns the numbers of the slots that were open. */
  close(): number[] {
    const numbers = this.slots.slice(0, this.limit).map((_, number) => number);
    this.slots.forEach((slot) => {
      if (!slot.busy) renew(slot);
    });
    this.limit = 0;
    return numbers;
  }

  /** Whether a task may be started with this credit. */
  isCurrent(credit: Credit): boolean {
    return this.current(credit) !== undefined;
  }

  /** Uses up a credit for a task of this entry; false when the credit is stale. */
  take(credit: Credit, entry: string): boolean {
    const slot = this.current(credit);
    if (!slot) return false;
    slot.busy = true;
    slot.holder = entry;
    return true;
  }

  /** Takes any slot without a task for one that came without a credit; undefined when all are busy. */
  takeIdle(entry: string): number | undefined {
    const number = this.slots.findIndex((slot, at) => at < this.limit && !slot.busy);
    const slot = this.slots[number];
    if (!slot) return undefined;
    renew(slot);
    Object.assign(slot, { busy: true, holder: entry });
    return number;
  }

  /** Frees a slot after its task. Its next credit belongs to nobody yet. */
  release(number: number): void {
    const slot = this.slots[number];
    if (!slot) return;
    slot.busy = false;
    renew(slot);
  }

  /** Gives the credit of an idle slot to an entry; undefined when the slot cannot take a task. */
  give(number: number, entry: string): Credit | undefined {
    const slot = this.slots[number];
    if (!slot || slot.busy || number >= this.limit) return undefined;
    if (slot.holder !== undefined) renew(slot);
    slot.holder = entry;
    return create(CreditSchema, { slot: number, generation: slot.generation });
  }

  /** Numbers of the idle slots whose credit nobody holds. */
  unheld(): number[] {
    return this.numbersOf((slot) => !slot.busy && slot.holder === undefined);
  }

  /** Idle credits that an entry was given, as far as is known here. */
  heldBy(entry: string): number {
    return this.numbersOf((slot) => !slot.busy && slot.holder === entry).length;
  }

  /** Ends the idle credits that an entry was given; they belong to nobody then. */
  drop(entry: string): void {
    this.numbersOf((slot) => !slot.busy && slot.holder === entry).forEach((number) =>
      this.release(number),
    );
  }

  /** Ends one credit if it is current and idle, and says whether it was. */
  end(credit: Credit): boolean {
    const slot = this.current(credit);
    if (!slot) return false;
    renew(slot);
    return true;
  }

  private current(credit: Credit): Slot | undefined {
    const slot = this.slots[credit.slot];
    if (!slot || credit.slot >= this.limit) return undefined;
    if (slot.busy || slot.holder === undefined) return undefined;
    return slot.generation === credit.generation ? slot : undefined;
  }

  private numbersOf(wanted: (slot: Slot) => boolean): number[] {
    const numbers: number[] = [];
    this.slots.slice(0, this.limit).forEach((slot, number) => {
      if (wanted(slot)) numbers.push(number);
    });
    return numbers;
  }
}

function renew(slot: Slot): void {
  Object.assign(slot, { generation: slot.generation + 1, holder: undefined });
}
