import type QueuedTask from './QueuedTask';

/**
 * The queued tasks of one service, taken from the teams by weighted deficit
 * round robin. Each team's tasks keep their order, so that a job's tasks start
 * together and jobs finish one after the other.
 */
export default class TeamQueue {
  private readonly backlogs = new Map<string, TeamBacklog>();

  /** Teams with queued tasks, the next one in turn first. */
  private readonly activeTeams: TeamBacklog[] = [];

  private queuedCount = 0;

  private constructor(private readonly weightOf: (team: string) => number) {}

  /** Creates an empty queue; `weightOf` returns a team's weight, 1 by default. */
  static create(weightOf: (team: string) => number): TeamQueue {
    return new TeamQueue(weightOf);
  }

  /** Number of queued tasks. */
  get length(): number {
    return this.queuedCount;
  }

  /** Appends a task to its team's queue. */
  push(task: QueuedTask): void {
    this.backlogOf(task.team).tasks.push(task);
    this.queuedCount += 1;
  }

  /** Puts a task back at the head of its team's queue, after a start that was not run. */
  pushFront(task: QueuedTask): void {
    const backlog = this.backlogOf(task.team);
    if (backlog.head > 0) {
      backlog.head -= 1;
      backlog.tasks[backlog.head] = task;
    } else {
      backlog.tasks.unshift(task);
    }
    this.queuedCount += 1;
  }

  /** Removes and returns the next task in turn of a team for which `allowed` returns true. */
  shift(allowed: (team: string) => boolean = () => true): QueuedTask | undefined {
    let skipped = 0;
    while (this.activeTeams.length > skipped) {
      const backlog = this.activeTeams[0]!;
      if (backlog.head >= backlog.tasks.length) {
        this.deactivate(backlog);
      } else if (!allowed(backlog.team)) {
        this.activeTeams.push(this.activeTeams.shift()!);
        skipped += 1;
      } else if (backlog.deficit < 1) {
        backlog.deficit += this.weightOf(backlog.team);
        this.activeTeams.push(this.activeTeams.shift()!);
        skipped = 0;
      } else {
        return this.takeFrom(backlog);
      }
    }
    return undefined;
  }

  /** Removes the tasks and returns those that were queued here. */
  remove(tasks: ReadonlySet<QueuedTask>): QueuedTask[] {
    const removed: QueuedTask[] = [];
    this.backlogs.forEach((backlog) => {
      const kept: QueuedTask[] = [];
      for (let at = backlog.head; at < backlog.tasks.length; at += 1) {
        const task = backlog.tasks[at]!;
        (tasks.has(task) ? removed : kept).push(task);
      }
      backlog.tasks = kept;
      backlog.head = 0;
    });
    this.queuedCount -= removed.length;
    return removed;
  }

  /** When the oldest task was queued; undefined when the queue is empty. */
  oldestQueuedAt(): number | undefined {
    let oldest: number | undefined;
    this.activeTeams.forEach((backlog) => {
      const first = backlog.tasks[backlog.head];
      if (first && (oldest === undefined || first.queuedAt < oldest)) oldest = first.queuedAt;
    });
    return oldest;
  }

  /** Estimated number of tasks that start before a further task of the team, by the teams' weights. */
  tasksAhead(team: string): number {
    const backlog = this.backlogs.get(team);
    const own = backlog ? backlog.tasks.length - backlog.head : 0;
    let ahead = own;
    this.forEachTeam((other, queued) => {
      if (other === team) return;
      ahead += Math.min(queued, ((own + 1) * this.weightOf(other)) / this.weightOf(team));
    });
    return ahead;
  }

  /** Calls `visit` with each team that has queued tasks and the number of them. */
  forEachTeam(visit: (team: string, queued: number) => void): void {
    this.backlogs.forEach((backlog) => {
      const queued = backlog.tasks.length - backlog.head;
      if (queued > 0) visit(backlog.team, queued);
    });
  }

  private backlogOf(team: string): TeamBacklog {
    let backlog = this.backlogs.get(team);
    if (!backlog) {
      backlog = { team, tasks: [], head: 0, deficit: 0, isActive: false };
      this.backlogs.set(team, backlog);
    }
    if (!backlog.isActive) {
      backlog.isActive = true;
      backlog.deficit = this.weightOf(team);
      this.activeTeams.push(backlog);
    }
    return backlog;
  }

  private takeFrom(backlog: TeamBacklog): QueuedTask {
    const task = backlog.tasks[backlog.head]!;
    backlog.head += 1;
    backlog.deficit -= 1;
    this.queuedCount -= 1;
    if (backlog.head > COMPACT_THRESHOLD) compact(backlog);
    return task;
  }

  private deactivate(backlog: TeamBacklog): void {
    this.activeTeams.shift();
    this.backlogs.delete(backlog.team);
  }
}

/** One team's queued tasks, from index `head` on. */
interface TeamBacklog {
  readonly team: string;
  tasks: QueuedTask[];
  head: number;
  deficit: number;
  isActive: boolean;
}

const COMPACT_THRESHOLD = 1024;

function compact(backlog: TeamBacklog): void {
  backlog.tasks.splice(0, backlog.head);
  backlog.head = 0;
}
