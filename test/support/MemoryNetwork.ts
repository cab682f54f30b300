import type TimerService from '../../src/core/TimerService';
import type Network from '../../src/link/Network';
import NetworkFaults from './NetworkFaults';
import HeldMessages from './HeldMessages';
import SimulatedUplink from './SimulatedUplink';
import MemoryEndpoint from './MemoryEndpoint';
import MemoryProcess from './MemoryProcess';
import type SimulatedCpu from './SimulatedCpu';

/**
 * An in-memory network whose faults are controlled by a test. Each process has its
 * own endpoint; faults are set by instance names.
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

  /** The network endpoint of an instance. The first call after a kill starts the instance's next process. */
  endpoint(instance: string): Network {
    const known = this.processes.get(instance);
    const process = known?.isAlive ? known : MemoryProcess.start(instance);
    this.processes.set(instance, process);
    return MemoryEndpoint.of(process, this.faults, this.addresses);
  }

  /** From now on each message that an instance sends or receives costs CPU time, in ms. */
  setMessageCost(instance: string, cpu: SimulatedCpu, messageMs: number): void {
    this.processOf(instance).messageCost = { cpu, messageMs };
  }

  /** From now on limits the bandwidth of an instance's machine to `bytesPerMs` in each direction. */
  limitBandwidth(instance: string, bytesPerMs: number): void {
    const { timer } = this.faults;
    const out = SimulatedUplink.of(timer, bytesPerMs);
    const into = SimulatedUplink.of(timer, bytesPerMs);
    this.processOf(instance).links = { out, into };
  }

  /** Breaks all connections between two instances and refuses new ones until `heal`. */
  partition(one: string, other: string): void {
    this.faults.setPartitioned(one, other, true);
    this.pipesOf(one)
      .filter(({ from, to }) => from.instance === other || to.instance === other)
      .forEach((pipe) => pipe.break());
  }

  /** Silently drops what one instance sends to the other; in both directions by default. */
  blackhole(from: string, to: string, directions: 'both' | 'one' = 'both'): void {
    this.faults.setBlackholed(from, to, true);
    if (directions === 'both') this.faults.setBlackholed(to, from, true);
  }

  /** Silences the open connections between two instances for good; new ones work. */
  silence(one: string, other: string): void {
    this.pipesOf(one)
      .filter(({ from, to }) => from.instance === other || to.instance === other)
      .forEach((pipe) => pipe.silence());
  }

  /** Ends the partition, black hole and delay between two instances. */
  heal(one: string, other: string): void {
    this.faults.setPartitioned(one, other, false);
    this.faults.setBlackholed(one, other, false);
    this.faults.setBlackholed(other, one, false);
    this.delay(one, other, 0);
  }

  /** Delays messages between two instances, in both directions. */
  delay(one: string, other: string, delayMs: number): void {
    this.faults.setDelay(one, other, delayMs);
    this.faults.setDelay(other, one, delayMs);
  }

  /** Holds back the messages for which the predicate is true; later messages overtake them. */
  hold(matches: Parameters<typeof HeldMessages.of>[0]): HeldMessages {
    const held = HeldMessages.of(matches);
    this.faults.holds.add(held);
    return held;
  }

  /** Pauses an instance as SIGSTOP would: messages to and from it wait. */
  pause(instance: string): void {
    this.processOf(instance).isPaused = true;
  }

  /** Resumes a paused instance: waiting messages arrive in order. */
  resume(instance: string): void {
    this.processOf(instance).isPaused = false;
    this.pipesOf(instance).forEach((pipe) => pipe.deliverDue());
  }

  /** Kills an instance's process: its peers see the connections end; it receives and sends nothing more. */
  kill(instance: string): void {
    const process = this.processOf(instance);
    process.isAlive = false;
    process.isPaused = false;
    this.pipesOf(instance).forEach((pipe) => {
      if (pipe.from === process) pipe.closeAfterSenderDeath();
      else pipe.discard();
    });
  }

  /** Number of messages sent so far, by kind. A call counts as, for example, "forward" and "forward.answer". */
  messageCounts(): Record<string, number> {
    return Object.fromEntries(
      [...this.faults.counts].sort(([one], [other]) => (one < other ? -1 : 1)),
    );
  }

  /** Resets the counts to zero. */
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
