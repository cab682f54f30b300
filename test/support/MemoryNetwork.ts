import type TimerService from '../../src/core/TimerService';
import type Network from '../../src/link/Network';
import NetworkFaults from './NetworkFaults';
import HeldMessages from './HeldMessages';
import SimulatedUplink from './SimulatedUplink';
import MemoryEndpoint from './MemoryEndpoint';
import MemoryProcess from './MemoryProcess';
import type SimulatedCpu from './SimulatedCpu';

/**
 * A network in memory whose faults a test controls. Each process gets its own
 * endpoint; faults name instances.
 */
export default class MemoryNetwork {
  private readonly faults: NetworkFaults;

  private readonly processes = new Map<string, MemoryProcess>();

  private readonly addresses: Parameters<typeof MemoryEndpoint.of>[2] = new Map();

  private constructor(timer: TimerService) {
    this.faults = NetworkFaults.none(timer);
  }

  /** Creates a network without faults. */
  static create(timer: TimerService): MemoryNetwork {
    return new MemoryNetwork(timer);
  }

  /** The network as the instance sees it. After a kill, a call starts the instance's next process. */
  endpoint(instance: string): Network {
    const known = this.processes.get(instance);
    const process = known?.isAlive ? known : MemoryProcess.start(instance);
    this.processes.set(instance, process);
    return MemoryEndpoint.of(process, this.faults, this.addresses);
  }

  /** From now on what an instance sends and is sent takes processor time, ms each. */
  setMessageCost(instance: string, processor: SimulatedCpu, messageMs: number): void {
    this.processOf(instance).messageCost = { processor, messageMs };
  }

  /** From now on the machine of an instance sends and receives so many bytes a ms at most, each way. */
  limitBandwidth(instance: string, bytesPerMs: number): void {
    const { timer } = this.faults;
    const out = SimulatedUplink.of(timer, bytesPerMs);
    const into = SimulatedUplink.of(timer, bytesPerMs);
    this.processOf(instance).links = { out, into };
  }

  /** Ends all connections between two instances and refuses new ones until they are joined again. */
  partition(one: string, other: string): void {
    this.faults.setPartitioned(one, other, true);
    this.pipesOf(one)
      .filter(({ from, to }) => from.instance === other || to.instance === other)
      .forEach((pipe) => pipe.break());
  }

  /** Makes what one instance sends to the other vanish without a word; both ways unless told otherwise. */
  blackhole(from: string, to: string, ways: 'both' | 'one' = 'both'): void {
    this.faults.setBlackholed(from, to, true);
    if (ways === 'both') this.faults.setBlackholed(to, from, true);
  }

  /** Ends a cut, a loss and a delay between two instances. */
  heal(one: string, other: string): void {
    this.faults.setPartitioned(one, other, false);
    this.faults.setBlackholed(one, other, false);
    this.faults.setBlackholed(other, one, false);
    this.delay(one, other, 0);
  }

  /** Delays what two instances send each other, in both directions. */
  delay(one: string, other: string, delayMs: number): void {
    this.faults.setDelay(one, other, delayMs);
    this.faults.setDelay(other, one, delayMs);
  }

  /** Holds back the messages for which the predicate is true; later ones pass them. */
  hold(matches: Parameters<typeof HeldMessages.of>[0]): HeldMessages {
    const held = HeldMessages.of(matches);
    this.faults.holds.add(held);
    return held;
  }

  /** Stops an instance as a stop signal would: what it sends and what it is sent waits. */
  pause(instance: string): void {
    this.processOf(instance).isPaused = true;
  }

  /** Continues a paused instance: everything that waited arrives in order. */
  resume(instance: string): void {
    this.processOf(instance).isPaused = false;
    this.pipesOf(instance).forEach((pipe) => pipe.deliverDue());
  }

  /** Ends an instance's process: others see its connections end, it sees and sends nothing more. */
  kill(instance: string): void {
    const process = this.processOf(instance);
    process.isAlive = false;
    process.isPaused = false;
    this.pipesOf(instance).forEach((pipe) => {
      if (pipe.from === process) pipe.closeAfterSenderDeath();
      else pipe.discard();
    });
  }

  /** How many messages of each kind were sent so far. Calls count as "forward" and "forward.answer". */
  messageCounts(): Record<string, number> {
    return Object.fromEntries(
      [...this.faults.counts].sort(([one], [other]) => (one < other ? -1 : 1)),
    );
  }

  /** Starts counting anew. */
  resetCounts(): void {
    this.faults.counts.clear();
  }

  private pipesOf(instance: string) {
    return [...this.faults.pipes].filter(
      ({ from, to }) => from.instance === instance || to.instance === instance,
    );
  }

  private processOf(instance: string): MemoryProcess {
    const process = this.processes.get(instance);
    if (!process) throw new Error(`no instance "${instance}" on this network`);
    return process;
  }
}
