"""All experiments by name."""

from typing import Final

from daisywharf._experiments._fleet_surge import FleetSettings, play_fleet
from daisywharf._experiments._model import Experiment
from daisywharf._experiments._placement import PlacementSettings, play_placement
from daisywharf._experiments._surge import SurgeSettings, play_surge

EXPERIMENT_BY_NAME: Final = {
    "surge": Experiment(
        "requests beyond the capacity of one deep service, each calling it several times",
        SurgeSettings,
        play_surge,
    ),
    "fleet": Experiment(
        "the same with hundreds of entries and many small gates, whose reports arrive late",
        FleetSettings,
        play_fleet,
    ),
    "placement": Experiment(
        "many entries place calls at targets, some of which become slow",
        PlacementSettings,
        play_placement,
    ),
}
