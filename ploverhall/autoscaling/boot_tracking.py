"""How long machines take to boot, and which of the booting ones to count on.

Boot times are taken from recent boots of the same type and zone, so that a slow cloud is not met
with ever more requests. No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.fleet_state import CLOUD_FAILED, FleetState, RentedMachine

DEFAULT_BOOT_S = 60.0  # of a type that the cloud no longer offers
# The cloud's machines usually boot within this multiple of their boot time, and the margin
TYPICAL_BOOT_MULTIPLE = 1.6
BOOT_MARGIN_S = 5.0
MAX_BOOT_MULTIPLE = 8.0  # a machine that has booted for longer is not counted on
MAX_BOOT_FACTOR = 6.0  # of recent to nominal boot times
BOOT_HISTORY_S = 300.0  # boots within this time count as recent
BOOT_SAMPLE_SIZE = 8
# A machine that boots for longer is returned: one that is late itself, or in a slow cloud
LATE_BOOT_MULTIPLE = 3.5
LATE_BOOT_MARGIN_S = 20.0
SLOW_CLOUD_BOOT_MULTIPLE = 6.0
SLOW_CLOUD_MARGIN_S = 60.0
MIN_LATER_BOOTS = 2  # so many later machines that are up make a booting one late


class BootTracking(FleetState):
    """Estimates of boot times."""

    def _boot_time_s(self, place: tuple[str, str], now: float) -> float:
        """Return the seconds that a machine of this type and zone takes to boot.

        This is the nominal time, or longer where recent boots took longer.
        """
        machine_type = self.machine_types.get(place[0])
        nominal_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_S
        recent_s = sorted(
            up_at - rented_at
            for rented_at, up_at in list(self.boot_history.get(place, ()))[-BOOT_SAMPLE_SIZE:]
            if now - up_at < BOOT_HISTORY_S
        )
        if not recent_s:
            return nominal_s
        median_s = recent_s[len(recent_s) // 2]
        return nominal_s * min(MAX_BOOT_FACTOR, max(1.0, median_s / max(nominal_s, 1.0)))

    def _overtaken(self, machine: RentedMachine) -> bool:
        """Whether machines rented after this one are up: then it is late, and not the cloud."""
        later_boots = sum(
            1
            for rented_at, _ in self.boot_history.get(machine.pool[:2], ())
            if rented_at >= machine.rented_at - 1.0
        )
        return later_boots >= MIN_LATER_BOOTS

    def _boot_timeout_s(self, machine: RentedMachine, nominal_s: float, now: float) -> float:
        """Return the age in seconds at which a machine that still boots is returned.

        Longer where no machine comes up: then the cloud is late, and a replacement would come no
        sooner than the machine itself.
        """
        if self._overtaken(machine):
            return (
                LATE_BOOT_MULTIPLE * self._boot_time_s(machine.pool[:2], now) + LATE_BOOT_MARGIN_S
            )
        return SLOW_CLOUD_BOOT_MULTIPLE * nominal_s + SLOW_CLOUD_MARGIN_S

    def _is_booting(self, machine: RentedMachine) -> bool:
        """Whether a machine has not been up yet and may still come."""
        return (
            machine.update is None
            and not machine.returning
            and machine.cloud_state != CLOUD_FAILED
            and machine.updated_at == 0.0
        )

    def _boots_late(self, place: tuple[str, str], now: float) -> bool:
        """Whether machines of this type and zone boot late, or not at all, just now."""
        machine_type = self.machine_types.get(place[0])
        return self.overdue.get(place, 0) > 0 or (
            machine_type is not None and self._boot_time_s(place, now) > 2.0 * machine_type.boot_s
        )

    def late_machines(self, now: float) -> list[tuple[str, int, float]]:
        """Return where machines boot late, how many, and the oldest one's age in seconds."""
        late: dict[str, tuple[int, float]] = {}
        for machine in self.machines.values():
            age_s = now - machine.rented_at
            if (
                self._is_booting(machine)
                and age_s > 2.0 * self._boot_time_s(machine.pool[:2], now) + BOOT_MARGIN_S
            ):
                place = f"{machine.pool[0]} in {machine.pool[1]}"
                count, oldest_s = late.get(place, (0, 0.0))
                late[place] = (count + 1, max(oldest_s, age_s))
        return [(place, count, round(age_s, 1)) for place, (count, age_s) in sorted(late.items())]

    def _booting_to_count_on(self, now: float) -> dict[str, bool]:
        """Return for each booting machine whether to count on it, and count the overdue ones.

        A late machine doesn't count where later ones have overtaken it, or where another zone's
        come in time. Where all are late, every second one counts, so that what is rented twice
        stays bounded.
        """
        self.booting_on_time = {}
        self.overdue = {}
        late: list[tuple[RentedMachine, float]] = []
        counted: dict[str, bool] = {}
        for machine in self.machines.values():
            if not self._is_booting(machine):
                continue
            place = machine.pool[:2]
            boot_s = self._boot_time_s(place, now)
            age_s = now - machine.rented_at
            if age_s <= TYPICAL_BOOT_MULTIPLE * boot_s + BOOT_MARGIN_S:
                counted[machine.name] = True
                self.booting_on_time[place] = self.booting_on_time.get(place, 0) + 1
            elif self._overtaken(machine):
                counted[machine.name] = age_s <= 2.0 * boot_s + BOOT_MARGIN_S
            else:
                self.overdue[place] = self.overdue.get(place, 0) + 1
                late.append((machine, age_s / boot_s))
        missing = 0.0
        for machine, boot_multiple in late:
            hopeless = self._boots_elsewhere(machine, now) or boot_multiple > MAX_BOOT_MULTIPLE
            missing += 1.0 if hopeless else 0.5
            counted[machine.name] = missing < 1.0
            if missing >= 1.0:
                missing -= 1.0
        return counted

    def _boots_elsewhere(self, machine: RentedMachine, now: float) -> bool:
        """Whether machines of the same type boot in time in another zone."""
        return any(
            place[0] == machine.pool[0]
            and place != machine.pool[:2]
            and not self._boots_late(place, now)
            and boots
            and now - boots[-1][1] < BOOT_HISTORY_S
            for place, boots in self.boot_history.items()
        )
