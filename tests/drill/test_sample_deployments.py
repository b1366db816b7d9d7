"""The stand-ins speak as the shipped deployments say, else a drill would refuse everything."""

import json
import unittest
from importlib.resources import files

from willowpost.drill.deployment import known
from willowpost.stand_ins.origin import HEALTH


class Deployments(unittest.TestCase):
    def test_origins_tell_their_token_at_the_path_that_their_service_names(self):
        for name in known():
            held = json.loads((files("willowpost.deployments") / f"{name}.json").read_text())
            services = held["configuration"]["services"]
            self.assertTrue(services)
            for service, said in services.items():
                with self.subTest(deployment=name, service=service):
                    self.assertEqual(HEALTH, said["health_check_path"])


if __name__ == "__main__":
    unittest.main()
